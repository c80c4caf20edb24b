#include "faulty_responses.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr std::size_t documentBytes = 2'000'000;

// The fields of the responses to a reservation, a prefill and a load report.
const std::string soundFields = R"({"hold":"h","kv_handle":"h","stage":"decode","busy":false,"sequence":0,"more":)";

} // namespace

const std::vector<faulty_response> &endlessResponses()
{
    static const std::string filler(1000, 'a');
    static const std::vector<faulty_response> all = {
        {"status line", "HTTP/1.1 200 ", "OK OK OK "},
        {"header field", "HEADX: ", filler},
        {"header fields", "HEAD", "a:\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\nX: a\r\n\r\n"},
        {"responses to others", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok"},
        {"body with a length", "HEADContent-Length: 1000000000\r\n\r\n", filler},
        {"body in chunks of a byte", "HEADTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        {"one chunk", "HEADTransfer-Encoding: chunked\r\n\r\n3fffffff\r\n", filler},
        {"body without a length", "HEAD\r\n", filler},
        {"chunk extension", "HEADTransfer-Encoding: chunked\r\n\r\n5;", filler},
        {"trailer field", "HEADTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", filler},
        {"trailer fields", "HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
        {"bytes after a response", "HEADContent-Length: 2\r\n\r\n{}", filler},
        {"responses after a response", "HEADContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
        {"bytes that are no response", "", "[[[[[[[["},
    };
    return all;
}

const faulty_response &endlessResponse(const std::string &name)
{
    return *std::find_if(
        endlessResponses().begin(), endlessResponses().end(), [&](const faulty_response &each) { return each.name == name; });
}

faulty_response costlyDocument(const char *name, const std::string &start, const std::string &piece, const std::string &end)
{
    const std::string body = start + repeatedText(piece, documentBytes / piece.size()) + end;
    return {name, "HEADContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, ""};
}

const std::vector<faulty_response> &costlyDocuments()
{
    static const std::vector<faulty_response> all = {
        costlyDocument("nested arrays", "", "[", ""),
        costlyDocument("nested objects", "", "{\"a\":", ""),
        costlyDocument("nested arrays in a member", soundFields, "[", ""),
        costlyDocument("zeros", "[0", ",0", "]"),
        costlyDocument("zeros in a member", soundFields + "[0", ",0", "]}"),
    };
    return all;
}

fault_series::fault_series(const std::vector<faulty_response> &faults)
    : m_faults(faults)
{
}

const faulty_response *fault_series::next()
{
    return &m_faults[m_next++ % m_faults.size()];
}

bool isReservation(const http_request &request)
{
    return request.path() == "/hold-take";
}

bool isPrefill(const http_request &request)
{
    return request.headers.value("X-Stage") == "prefill";
}

bool isRelease(const http_request &request)
{
    return request.method == "DELETE";
}

bool isRun(const http_request &request)
{
    return request.headers.has("X-Attempt-Id") && !isPrefill(request) && request.path() != "/safe/ordinary";
}

bool statusPromisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string repeatedText(const std::string &text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

} // namespace burdockshelf
