#include "http1/message_writer.h"

#include "http/field_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <http_parser.h>

namespace burdockshelf
{

namespace
{

constexpr std::array<std::string_view, 9> hopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

void addFields(std::string &bytes, const http_headers &headers)
{
    for (const http_header &field : headers.fields()) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void addFraming(std::string &bytes, body_framing framing, std::size_t length)
{
    if (framing == body_framing::chunked) {
        bytes.append("Transfer-Encoding: chunked\r\n");
    } else if (framing == body_framing::length) {
        bytes.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    }
}

bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        std::string_view entry = list.substr(0, comma);
        while (!entry.empty() && entry.front() == ' ') {
            entry.remove_prefix(1);
        }
        while (!entry.empty() && entry.back() == ' ') {
            entry.remove_suffix(1);
        }
        if (isSameIgnoringCase(entry, name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

} // namespace

std::string requestHeadBytes(const http_request &request, body_framing framing, std::size_t bodyLength)
{
    std::string bytes;
    bytes.reserve(512);
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    addFields(bytes, request.headers);
    addFraming(bytes, framing, bodyLength);
    bytes.append("\r\n");
    return bytes;
}

std::string requestBytes(const http_request &request, body_framing framing)
{
    std::string bytes = requestHeadBytes(request, framing, request.body.size());
    if (framing == body_framing::length) {
        bytes.append(request.body);
    }
    return bytes;
}

std::string responseHeadBytes(const http_response &response, body_framing framing, std::size_t bodyLength, bool closes)
{
    std::string bytes;
    bytes.reserve(512);
    bytes.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reasonPhrase(response.status)).append("\r\n");
    addFields(bytes, response.headers);
    addFraming(bytes, framing, bodyLength);
    if (closes) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    return bytes;
}

std::string responseBytes(const http_response &response, body_framing framing, bool closes)
{
    std::string bytes = responseHeadBytes(response, framing, response.body.size(), closes);
    if (framing == body_framing::length) {
        bytes.append(response.body);
    }
    return bytes;
}

std::string chunkBytes(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    std::string chunk(digits.data(), end);
    chunk.append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

std::string_view lastChunk()
{
    return "0\r\n\r\n";
}

bool isVisibleText(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; });
}

bool isHopByHop(std::string_view name)
{
    for (const std::string_view hop : hopByHopNames) {
        if (isSameIgnoringCase(hop, name)) {
            return true;
        }
    }
    return false;
}

http_headers endToEndHeaders(const http_headers &headers)
{
    const std::string_view connectionOptions = headers.value("Connection");
    http_headers kept;
    for (const http_header &field : headers.fields()) {
        if (!isHopByHop(field.name) && (connectionOptions.empty() || !isListed(connectionOptions, field.name))) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

} // namespace burdockshelf
