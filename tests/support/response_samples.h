#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// The body of the samples, which is an event stream as well.
inline const std::string sampleBody = "data:1\n\n";

/// A response as a server writes it. "{fields}" stands for the fields that a test needs in the head, such as the id of the request.
struct response_sample
{
    std::string name;
    std::string bytes;
    /// What a client reads from a sound response.
    int status = 200;
    std::string body = sampleBody;
    /// The server ends its sending direction, which completes a body without a length.
    bool endsAtClose = false;
};

/// The sample's bytes with the given fields in the head; each field ends in a line break.
inline std::string responseBytes(const response_sample &sample, std::string_view fields = {})
{
    constexpr std::string_view mark = "{fields}";
    std::string bytes = sample.bytes;
    for (auto at = bytes.find(mark); at != std::string::npos; at = bytes.find(mark, at)) {
        bytes.replace(at, mark.size(), fields);
    }
    return bytes;
}

/// A response with that status line, which is sound otherwise.
inline response_sample withStatusLine(std::string name, const std::string &line)
{
    return {std::move(name), line + "\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n"};
}

/// A response with that line among its fields, which is sound otherwise.
inline response_sample withLine(std::string name, const std::string &line)
{
    return {std::move(name), "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\nContent-Length: 8\r\n\r\ndata:1\n\n"};
}

/// A response with those framing fields and that body.
inline response_sample withFraming(std::string name, const std::string &fields, const std::string &body)
{
    return {std::move(name), "HTTP/1.1 200 OK\r\n{fields}" + fields + "\r\n\r\n" + body};
}

inline response_sample inChunks(std::string name, const std::string &body)
{
    return withFraming(std::move(name), "Transfer-Encoding: chunked", body);
}

/// Responses whose status line is none of HTTP/1.x, or has a status that no response may have.
inline std::vector<response_sample> invalidStatusLines()
{
    return {
        withStatusLine("status 000", "HTTP/1.1 000 Trouble"),
        withStatusLine("status 002", "HTTP/1.1 002 Trouble"),
        withStatusLine("status 099", "HTTP/1.1 099 Trouble"),
        withStatusLine("status 600", "HTTP/1.1 600 Trouble"),
        withStatusLine("status 999", "HTTP/1.1 999 Trouble"),
        withStatusLine("status of one digit", "HTTP/1.1 2 OK"),
        withStatusLine("status of two digits", "HTTP/1.1 20 OK"),
        withStatusLine("status of four digits", "HTTP/1.1 0200 OK"),
        withStatusLine("status with a sign", "HTTP/1.1 +800 OK"),
        withStatusLine("status with a letter", "HTTP/1.1 20x OK"),
        withStatusLine("status with a blank", "HTTP/1.1 2 00 OK"),
        withStatusLine("status after two blanks", "HTTP/1.1  200 OK"),
        withStatusLine("status after a tab", "HTTP/1.1\t200 OK"),
        withStatusLine("status before a tab", "HTTP/1.1 200\tOK"),
        withStatusLine("no status", "HTTP/1.1 OK"),
        withStatusLine("version only", "HTTP/1.1"),
        withStatusLine("change of protocol", "HTTP/1.1 101 Switching Protocols"),
        withStatusLine("version 0.9", "HTTP/0.9 200 OK"),
        withStatusLine("version 2.0", "HTTP/2.0 200 OK"),
        withStatusLine("version without a minor number", "HTTP/1 200 OK"),
        withStatusLine("version with a letter", "HTTP/1.x 200 OK"),
        withStatusLine("other protocol", "ICY 200 OK"),
        withStatusLine("protocol in lower case", "http/1.1 200 OK"),
        withStatusLine("control byte in the reason", "HTTP/1.1 200 O\x01K"),
        withStatusLine("carriage return in the reason", "HTTP/1.1 200 O\rK"),
        withStatusLine("line break before the status line", "\r\nHTTP/1.1 200 OK"),
    };
}

/// Responses with a line in their head that is no field.
inline std::vector<response_sample> invalidFields()
{
    using namespace std::string_literals;
    return {
        withLine("blank in a name", "X Trace: a"),
        withLine("blank before the colon", "X-Trace : a"),
        withLine("blank before a name", "X-A: a\r\n X-Trace: a"),
        {"blank before the first name", "HTTP/1.1 200 OK\r\n X-Trace: a\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n"},
        withLine("blank in the name of the length", "X: a\r\nContent -Length: 9"),
        withLine("tab in a name", "X\tTrace: a"),
        withLine("control byte in a name", "X\x01Trace: a"),
        withLine("NUL in a name", "X\0Trace: a"s),
        withLine("DEL in a name", "X\x7fTrace: a"),
        withLine("byte above ASCII in a name", "X\xe9Trace: a"),
        withLine("quotation mark in a name", "X\"Trace: a"),
        withLine("parenthesis in a name", "X(Trace: a"),
        withLine("empty name", ": a"),
        withLine("no colon", "X-Trace"),
        withLine("folded value", "X-Trace: a\r\n b"),
        withLine("value folded by a tab", "X-Trace: a\r\n\tb"),
        withLine("value on the next line", "X-Trace:\r\n b"),
        withLine("control byte at the start of a value", "X-Trace: \x01" + "a"s),
        withLine("control byte in a value", "X-Trace: a\x01" + "b"s),
        withLine("NUL in a value", "X-Trace: a\0b"s),
        withLine("DEL at the end of a value", "X-Trace: a\x7f"),
        withLine("carriage return in a value", "X-Trace: a\rb"),
        {"blank in a name of an interim response",
         "HTTP/1.1 103 Early Hints\r\nX Trace: a\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n"},
        {"carriage return without a line feed at the end", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 8\r\n\rXdata:1\n\n"},
    };
}

/// Responses whose framing breaks the rules, so that nothing tells where they end.
inline std::vector<response_sample> invalidFraming()
{
    return {
        withFraming("two lengths", "Content-Length: 8\r\nContent-Length: 9", "data:1\n\nx"),
        withFraming("list of lengths", "Content-Length: 8, 9", "data:1\n\nx"),
        withFraming("length with a sign", "Content-Length: +8", "data:1\n\n"),
        withFraming("negative length", "Content-Length: -8", "data:1\n\n"),
        withFraming("length with a blank", "Content-Length: 0 8", "data:1\n\n"),
        withFraming("length in hexadecimal", "Content-Length: 0x8", "data:1\n\n"),
        withFraming("empty length", "Content-Length:", "data:1\n\n"),
        withFraming("length over 63 bits", "Content-Length: 10000000000000000000", "data:1\n\n"),
        withFraming("length and chunks", "Content-Length: 8\r\nTransfer-Encoding: chunked", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("chunks and length", "Transfer-Encoding: chunked\r\nContent-Length: 8", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("compressed body", "Transfer-Encoding: gzip", "data:1\n\n"),
        withFraming("compressed body in chunks", "Transfer-Encoding: gzip, chunked", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("compressed chunks", "Transfer-Encoding: chunked, gzip", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("chunks twice", "Transfer-Encoding: chunked, chunked", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("unknown coding", "Transfer-Encoding: xchunked", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        withFraming("empty coding", "Transfer-Encoding:", "data:1\n\n"),
        {"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n8\r\ndata:1\n\n\r\n0\r\n\r\n"},
        {"chunks of a 204", "HTTP/1.1 204 No Content\r\n{fields}Transfer-Encoding: chunked\r\n\r\n8\r\ndata:1\n\n\r\n0\r\n\r\n"},
        inChunks("other bytes after a chunk", "8\r\ndata:1\n\nXX0\r\n\r\n"),
        inChunks("no line break after a chunk", "8\r\ndata:1\n\n0\r\n\r\n"),
        inChunks("chunk longer than its size", "8\r\ndata:1\n\nay\r\n0\r\n\r\n"),
        inChunks("size that is no number", "x\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("size with a sign", "+8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("size with a prefix", "0x8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("empty size", "\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("size over 63 bits", "8000000000000000\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("text after a size", "8 more\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("size that ends in a line feed", "8\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("size that ends in a carriage return", "8\rXdata:1\n\n\r\n0\r\n\r\n"),
        inChunks("line feed in an extension", "8;a\nb\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("control byte in an extension", "8;a\x01\r\ndata:1\n\n\r\n0\r\n\r\n"),
    };
}

/// Refusals that state that the request was not executed, but are no valid responses, so that nothing of them may be believed.
inline std::vector<response_sample> invalidRefusals()
{
    const std::string fields = "{fields}X-Not-Executed: 1\r\n";
    return {
        {"refusal with a status of 999", "HTTP/1.1 999 Full\r\n" + fields + "Content-Length: 0\r\n\r\n"},
        {"refusal with a blank in a name", "HTTP/1.1 503 Full\r\n" + fields + "X Trace: a\r\nContent-Length: 0\r\n\r\n"},
        {"refusal with an invalid chunk", "HTTP/1.1 503 Full\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n"},
    };
}

/// Responses with a line among their trailers that is no field.
inline std::vector<response_sample> invalidTrailers()
{
    return {
        inChunks("blank in the name of a trailer", "8\r\ndata:1\n\n\r\n0\r\nX Trace: a\r\n\r\n"),
        inChunks("trailer without a colon", "8\r\ndata:1\n\n\r\n0\r\nX-Trace\r\n\r\n"),
        inChunks("folded trailer", "8\r\ndata:1\n\n\r\n0\r\nX-Trace: a\r\n b\r\n\r\n"),
        inChunks("control byte in a trailer", "8\r\ndata:1\n\n\r\n0\r\nX-Trace: \x01\r\n\r\n"),
    };
}

/// All responses that no client may take for an answer.
inline std::vector<response_sample> invalidResponses()
{
    std::vector<response_sample> all = invalidStatusLines();
    for (const auto &more : {invalidFields(), invalidTrailers(), invalidFraming()}) {
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

/// Unusual responses that ordinary servers may send.
inline std::vector<response_sample> soundResponses()
{
    using namespace std::string_literals;
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
    return {
        withStatusLine("no reason", "HTTP/1.1 200 "),
        withStatusLine("no blank before the missing reason", "HTTP/1.1 200"),
        withStatusLine("reason above ASCII", "HTTP/1.1 200 Tr\xc3\xa8s bien"),
        withStatusLine("reason with a tab", "HTTP/1.1 200 all\tright"),
        withStatusLine("later minor version", "HTTP/1.2 200 OK"),
        withStatusLine("version 1.0", "HTTP/1.0 200 OK"),
        {"status 599", "HTTP/1.1 599 Unusual\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n", 599},
        {"version 1.0 without a length", "HTTP/1.0 200 OK\r\n{fields}\r\ndata:1\n\n", 200, "data:1\n\n", true},
        {"no length", "HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\ndata:1\n\n", 200, "data:1\n\n", true},
        {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n"},
        {"after early hints", early + early + "HTTP/1.1 200 OK\r\n{fields}Content-Length: 8\r\n\r\ndata:1\n\n"},
        {"no content", "HTTP/1.1 204 No Content\r\n{fields}\r\n", 204, ""},
        {"no content with a length", "HTTP/1.1 204 No Content\r\n{fields}Content-Length: 0\r\n\r\n", 204, ""},
        {"not modified", "HTTP/1.1 304 Not Modified\r\n{fields}ETag: \"a\"\r\n\r\n", 304, ""},
        {"not modified with the length of the other response", "HTTP/1.1 304 Not Modified\r\n{fields}Content-Length: 5\r\n\r\n", 304, ""},
        {"empty body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n", 200, ""},
        withLine("empty value", "X-Empty:"),
        withLine("no blank before a value", "X-Trace:a"),
        withLine("blanks around a value", "X-Trace: \t a b \t "),
        withLine("value above ASCII", "X-Trace: d\xc3\xa9j\xc3\xa0 \xff"),
        withLine("colons in a value", "X-Time: 10:20:30"),
        withLine("every byte that a name may have", "!#$%&'*+-.^_`|~09azAZ: a"),
        withLine("repeated field", "Set-Cookie: a=1\r\nSet-Cookie: b=2"),
        withLine("offer of another protocol", "Connection: upgrade\r\nUpgrade: h2c"),
        withFraming("blanks around a length", "Content-Length:   8  ", "data:1\n\n"),
        withFraming("length with leading zeros", "Content-Length: 0008", "data:1\n\n"),
        {"lines that end in a line feed", "HTTP/1.1 200 OK\n{fields}Content-Length: 8\n\ndata:1\n\n"},
        withFraming("chunks in capitals", "TRANSFER-ENCODING: Chunked ", "8\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("several chunks", "4\r\ndata\r\n4\r\n:1\n\n\r\n0\r\n\r\n"),
        inChunks("size with leading zeros", "0008\r\ndata:1\n\n\r\n000\r\n\r\n"),
        {"size in capitals",
         "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\nA\r\ndata: 12\n\n\r\n0\r\n\r\n",
         200,
         "data: 12\n\n"},
        inChunks("extensions", "8;a;b=c;d=\"e f\"\r\ndata:1\n\n\r\n0;last\r\n\r\n"),
        inChunks("blank before an extension", "8 ; a\r\ndata:1\n\n\r\n0\r\n\r\n"),
        inChunks("trailers", "8\r\ndata:1\n\n\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n"),
    };
}

} // namespace burdockshelf
