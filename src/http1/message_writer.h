#pragma once

#include "http/http_message.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Framing of the body of a serialized message.
enum class body_framing
{
    /// Content-Length with the size of the message's body.
    length,
    chunked,
    /// No body and no length, for example for a 204 response.
    none,
};

/// Serializes the head of a request and, with body_framing::length, its body. The headers must not contain framing fields.
std::string requestBytes(const http_request &request, body_framing framing);
/// Serializes the head of a request whose body has the given length and is sent separately.
std::string requestHeadBytes(const http_request &request, body_framing framing, std::size_t bodyLength);
/// Serializes the head of a response whose body has the given length and is sent separately.
std::string responseHeadBytes(const http_response &response, body_framing framing, std::size_t bodyLength, bool closes);
/// Serializes the head of a response and, with body_framing::length, its body. Adds "Connection: close" if closes is set.
std::string responseBytes(const http_response &response, body_framing framing, bool closes);
/// Encodes one chunk of a chunked body. Returns an empty string for no bytes, because an empty chunk would end the body.
std::string chunkBytes(std::string_view bytes);
/// The last chunk, which ends a chunked body.
std::string_view lastChunk();
/// True if the text consists of visible ASCII characters, so that it can be sent as the value of a header field or as part of a target.
bool isVisibleText(std::string_view text);
/// True for hop-by-hop fields and for fields that define the framing of the body.
bool isHopByHop(std::string_view name);
/// Returns the headers without hop-by-hop and framing fields and without fields listed in the first Connection field.
http_headers endToEndHeaders(const http_headers &headers);

} // namespace burdockshelf
