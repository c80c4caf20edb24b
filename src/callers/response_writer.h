#pragma once

#include "callers/caller_messages.h"
#include "http/http_exchange.h"

#include <memory>
#include <optional>
#include <string>

namespace burdockshelf
{

/// Writes the parts of one answer to its caller: as server-sent events, or gathered into one body when the caller does not stream. A
/// stream that fails is cut, so that the caller cannot take it for whole.
class response_writer
{
public:
    response_writer(std::shared_ptr<http_exchange> exchange, request_id request, std::optional<model_request> model);

    /// Writes one part; true when the answer is complete.
    bool write(const caller_response &part);
    /// True when the caller takes the answer too slowly to go on.
    bool isCongested() const;
    const std::shared_ptr<http_exchange> &exchange() const;
    /// Answers carry "Connection: close" from now on.
    void closeAfterResponse();

private:
    bool writePart(const model_started &part);
    bool writePart(const model_event &part);
    bool writePart(const model_finished &part);
    bool writePart(const plain_answer &part);
    bool writePart(const refusal &part);
    void respond(http_response response);

    std::shared_ptr<http_exchange> m_exchange;
    request_id m_request;
    std::optional<model_request> m_model;
    std::string m_servedBy;
    std::string m_text;
    bool m_isStreaming = false;
    bool m_closesAfterAnswer = false;
};

} // namespace burdockshelf
