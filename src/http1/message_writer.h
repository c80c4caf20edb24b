#pragma once

#include "http/http_message.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// How the body of a message that is written will be framed.
enum class body_framing
{
    /// With the length of the body that is at hand.
    length,
    chunked,
    /// No body and no length, for example a 204.
    none,
};

/// Head and, with body_framing::length, body of a request. Framing fields among the headers must have been removed.
std::string requestBytes(const http_request &request, body_framing framing);
/// Head and, with body_framing::length, body of a response.
std::string responseBytes(const http_response &response, body_framing framing, bool closes);
/// One chunk of a chunked body; nothing for no bytes, because an empty chunk would end the body.
std::string chunkBytes(std::string_view bytes);
/// The end of a chunked body.
std::string_view lastChunk();
/// True for the fields that concern one connection only, and for those that frame a body.
bool isHopByHop(std::string_view name);
/// The headers without those of one connection, also without those that a Connection field names.
http_headers endToEnd(const http_headers &headers);

} // namespace burdockshelf
