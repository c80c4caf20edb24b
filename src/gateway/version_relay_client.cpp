#include "gateway/version_relay_client.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// The receiver makes two reads or one write at the store.
constexpr milliseconds requestTimeout {300};
constexpr milliseconds blockPeriod {1000};

} // namespace

version_relay_client::version_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log)
    : m_mesh(std::move(mesh))
    , m_responses(std::move(answers))
    , m_log(std::move(log))
{
}

void version_relay_client::setHolders(std::vector<peer_instance> holders)
{
    m_holders.set(std::move(holders));
}

void version_relay_client::lookUp(const stream_lookup &lookup, instant now, const origin_handler &onFound)
{
    auto onAnswer = [this, lookup, onFound](const outcome<peer_message> &answer) {
        const auto *origin = answer ? std::get_if<peer_stream_origin>(&answer.value()) : nullptr;
        if (origin != nullptr && origin->isCertain) {
            onFound(*origin);
        } else {
            lookUp(lookup, boot_clock::now(), onFound);
        }
    };
    if (!send(peer_stream_lookup {lookup.stream, lookup.services}, now, std::move(onAnswer))) {
        onFound({});
    }
}

void version_relay_client::record(const std::string &streams, instant now, const record_handler &onDone)
{
    auto onAnswer = [onDone](const outcome<peer_message> &answer) {
        const auto *acknowledged = answer ? std::get_if<acknowledgement>(&answer.value()) : nullptr;
        onDone(acknowledged != nullptr && acknowledged->isAccepted);
    };
    if (!send(peer_open_streams {streams}, now, std::move(onAnswer))) {
        onDone(false);
    }
}

void version_relay_client::receive(const peer_response &response)
{
    auto pending = m_pending.extract(response.exchange);
    if (pending.empty()) {
        return;
    }
    const pending_request request = std::move(pending.mapped());
    if (!response.answer) {
        block(request.holder, response.answer.error().message, boot_clock::now());
    } else {
        const auto *origin = std::get_if<peer_stream_origin>(&response.answer.value());
        const auto *acknowledged = std::get_if<acknowledgement>(&response.answer.value());
        if ((origin != nullptr && !origin->isCertain) || (acknowledged != nullptr && !acknowledged->isAccepted)) {
            block(request.holder, "the store does not respond to it", boot_clock::now());
        }
    }
    request.onAnswer(response.answer);
}

bool version_relay_client::send(peer_message message, instant now, std::function<void(const outcome<peer_message> &)> onAnswer)
{
    const peer_instance *holder = m_holders.current(now);
    if (holder == nullptr) {
        return false;
    }
    const std::uint64_t exchange = ++m_lastExchange;
    peer_request request;
    request.exchange = exchange;
    request.message = std::move(message);
    request.until = deadline::after(now, requestTimeout);
    request.reply = m_responses;
    if (m_mesh.post(peer_envelope {holder->instance, std::move(request)}) != post_result::delivered) {
        m_log.write(log_line("versions", "message_dropped").add("receiver", "mesh"));
        return false;
    }
    m_pending.emplace(exchange, pending_request {holder->instance, std::move(onAnswer)});
    return true;
}

void version_relay_client::block(const instance_id &holder, std::string_view cause, instant now)
{
    if (m_holders.block(holder, deadline::after(now, blockPeriod), now)) {
        m_log.write(log_line("versions", "holder_blocked").add("holder", holder).add("cause", cause));
    }
}

} // namespace burdockshelf
