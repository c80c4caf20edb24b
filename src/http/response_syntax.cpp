#include "http/response_syntax.h"

#include "http/field_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace burdockshelf
{

namespace
{

// Longest line, as in http_parser. What sound servers send is far shorter.
constexpr std::size_t maxLineBytes = 80 * 1024;

constexpr std::string_view protocol = "HTTP/1.";
constexpr std::size_t statusDigits = 3;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int minStatus = 100;
constexpr int maxStatus = 599;

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

// Reads a number of digits only; negative if the text is anything else or the number has more than 63 bits.
std::int64_t readNumber(std::string_view text, int base)
{
    std::int64_t number = -1;
    const char *const end = text.data() + text.size();
    const auto [read, failure] = std::from_chars(text.data(), end, number, base);
    return failure == std::errc() && read == end && !text.starts_with('-') ? number : -1;
}

// A carriage return stands before a line feed only. Parsers may take one for the end of the line.
bool hasLoneReturn(std::string_view start, std::string_view piece)
{
    const auto at = piece.find('\r');
    const bool isFollowed = at != std::string_view::npos && at + 1 < piece.size() && piece[at + 1] != '\n';
    return isFollowed || (start.ends_with('\r') && piece.front() != '\n');
}

} // namespace

void response_syntax::begin()
{
    const bool hasNoBody = m_hasNoBody;
    *this = {};
    m_hasNoBody = hasNoBody;
}

void response_syntax::setNoBody(bool hasNoBody)
{
    m_hasNoBody = hasNoBody;
}

std::size_t response_syntax::take(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !isComplete() && !isBroken()) {
        const std::string_view rest = bytes.substr(taken);
        taken += m_part < part::chunk ? takeLine(rest) : takeBody(rest.size());
    }
    return taken;
}

bool response_syntax::isBroken() const
{
    return m_part == part::broken;
}

bool response_syntax::isLineTooLong() const
{
    return m_isLineTooLong;
}

bool response_syntax::isComplete() const
{
    return m_part == part::complete;
}

bool response_syntax::isBodyWithoutLength() const
{
    return m_part == part::body_without_length;
}

bool response_syntax::isInterim() const
{
    return m_status < firstFinalStatus;
}

std::size_t response_syntax::takeLine(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    const std::string_view piece = bytes.substr(0, lineFeed == std::string_view::npos ? lineFeed : lineFeed + 1);
    m_isLineTooLong = m_line.size() + piece.size() > maxLineBytes;
    if (m_isLineTooLong || hasLoneReturn(m_line, piece)) {
        m_part = part::broken;
    } else if (lineFeed == std::string_view::npos) {
        m_line.append(piece);
    } else if (m_line.empty()) {
        checkLine(piece);
    } else {
        const std::string line = std::exchange(m_line, {}).append(piece);
        checkLine(line);
    }
    return piece.size();
}

std::size_t response_syntax::takeBody(std::size_t available)
{
    if (m_part == part::body_without_length) {
        return available;
    }
    const std::int64_t taken = std::min(m_left, static_cast<std::int64_t>(available));
    m_left -= taken;
    if (m_left == 0) {
        m_part = m_part == part::chunk ? part::chunk_end : part::complete;
    }
    return static_cast<std::size_t>(taken);
}

void response_syntax::checkLine(std::string_view line)
{
    // In the order of the parts that are lines.
    static constexpr std::array checks = {
        &response_syntax::checkStatusLine,
        &response_syntax::checkField,
        &response_syntax::checkChunkSize,
        &response_syntax::checkChunkEnd,
        &response_syntax::checkTrailer,
    };
    line.remove_suffix(1);
    const bool endsInLineFeedOnly = !line.ends_with('\r');
    // Recipients may accept a line feed as the end of a line of the head, but not in the framing of chunks.
    const bool isFramingOfChunks = m_part == part::chunk_size || m_part == part::chunk_end;
    if (endsInLineFeedOnly && isFramingOfChunks) {
        m_part = part::broken;
        return;
    }
    line.remove_suffix(endsInLineFeedOnly ? 0 : 1);
    (this->*checks[static_cast<std::size_t>(m_part)])(line);
}

// Some servers leave out the blank before an empty reason.
void response_syntax::checkStatusLine(std::string_view line)
{
    constexpr std::size_t minorAt = protocol.size();
    constexpr std::size_t statusAt = minorAt + 2;
    constexpr std::size_t reasonAt = statusAt + statusDigits;
    m_part = part::broken;
    if (line.size() < reasonAt || !line.starts_with(protocol) || !isDigit(line[minorAt]) || line[minorAt + 1] != ' ') {
        return;
    }
    const std::string_view digits = line.substr(statusAt, statusDigits);
    const std::string_view reason = line.substr(reasonAt);
    if (!std::all_of(digits.begin(), digits.end(), &isDigit) || !(reason.empty() || reason.front() == ' ') || !isFieldText(reason)) {
        return;
    }
    m_status = static_cast<int>(readNumber(digits, decimal));
    // No code here asks for another protocol.
    if (m_status < minStatus || m_status > maxStatus || m_status == switchingProtocols) {
        return;
    }
    m_isVersion10 = line[minorAt] == '0';
    m_part = part::field;
}

void response_syntax::checkField(std::string_view line)
{
    if (line.empty()) {
        endHead();
        return;
    }
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    // A folded line begins with a blank, and a line without a colon is a name only.
    if (colon == std::string_view::npos || !isToken(name) || !isFieldText(line.substr(colon + 1))) {
        m_part = part::broken;
        return;
    }
    const std::string_view value = withoutBlanks(line.substr(colon + 1));
    if (m_part == part::field && isSameIgnoringCase(name, "Content-Length")) {
        setLength(value);
    } else if (m_part == part::field && isSameIgnoringCase(name, "Transfer-Encoding")) {
        setCoding(value);
    }
}

void response_syntax::setLength(std::string_view value)
{
    const bool isRepeated = m_length >= 0;
    m_length = readNumber(value, decimal);
    if (isRepeated || m_length < 0) {
        m_part = part::broken;
    }
}

// Requests do not say that another coding is accepted, so no other may be used.
void response_syntax::setCoding(std::string_view value)
{
    if (m_isChunked || !isSameIgnoringCase(value, "chunked")) {
        m_part = part::broken;
    }
    m_isChunked = true;
}

void response_syntax::endHead()
{
    const bool mayBeChunked = m_length < 0 && !m_isVersion10 && !isInterim() && m_status != noContent;
    if (m_isChunked && !mayBeChunked) {
        m_part = part::broken;
    } else if (!hasBody()) {
        m_part = part::complete;
    } else if (m_isChunked) {
        m_part = part::chunk_size;
    } else {
        m_part = m_length < 0 ? part::body_without_length : part::body;
        m_left = m_length;
    }
}

bool response_syntax::hasBody() const
{
    return !m_hasNoBody && !isInterim() && m_status != noContent && m_status != notModified && m_length != 0;
}

void response_syntax::checkChunkSize(std::string_view line)
{
    const auto digitsEnd = std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
    const std::string_view extensions = line.substr(digitsEnd);
    const bool areExtensions = extensions.empty() || (withoutBlanks(extensions).starts_with(';') && isFieldText(extensions));
    m_left = readNumber(line.substr(0, digitsEnd), hexadecimal);
    if (m_left < 0 || !areExtensions) {
        m_part = part::broken;
    } else {
        m_part = m_left == 0 ? part::trailer : part::chunk;
    }
}

void response_syntax::checkChunkEnd(std::string_view line)
{
    m_part = line.empty() ? part::chunk_size : part::broken;
}

// Trailers do not change the framing.
void response_syntax::checkTrailer(std::string_view line)
{
    if (line.empty()) {
        m_part = part::complete;
    } else {
        checkField(line);
    }
}

} // namespace burdockshelf
