#pragma once

#include "callers/caller_messages.h"
#include "http/http_exchange.h"

#include <memory>
#include <optional>
#include <string>

namespace burdockshelf
{

/// Writes the parts of a response to the caller: as server-sent events, or collected into one body when the caller does not stream. The
/// connection of a failed stream is closed, so that the caller cannot take the truncated response for a complete one.
class response_writer
{
public:
    response_writer(std::shared_ptr<http_exchange> exchange, request_id request, std::optional<model_request> model);

    /// Writes one part. Returns true when the response is complete.
    bool write(const caller_response &part);
    /// True when the unsent part of the response exceeds its limit because the caller reads too slowly.
    bool isCongested() const;
    const std::shared_ptr<http_exchange> &exchange() const;
    /// Adds "Connection: close" to the response, unless its headers have already been sent.
    void closeAfterResponse();

private:
    bool writePart(const model_started &part);
    bool writePart(const model_event &part);
    bool writePart(const model_finished &part);
    bool writePart(const plain_response &part);
    bool writePart(const refusal &part);
    void respond(http_response response);

    std::shared_ptr<http_exchange> m_exchange;
    request_id m_request;
    std::optional<model_request> m_model;
    std::string m_servedBy;
    std::string m_text;
    bool m_isStreaming = false;
    bool m_closesAfterResponse = false;
};

} // namespace burdockshelf
