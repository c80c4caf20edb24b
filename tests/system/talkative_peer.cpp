#include "talkative_peer.h"

#include "support/test_records.h"

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

namespace
{

// Some six megabytes once encoded.
constexpr std::size_t recordCount = 40'000;
constexpr std::size_t valueBytes = 100;

} // namespace

talkative_peer::talkative_peer(event_loop &loop)
    : m_box(std::make_shared<mailbox<mesh_supervisor_message>>(loop, 100))
{
    mesh_settings settings;
    settings.self = {instance_id("peer"), incarnation_id("peer-1"), data_centre_id("z")};
    settings.listenAddress = {"127.0.0.1", 0};
    const sink<peer_message_received> inbox([this](peer_message_received &&message) { return answer(message); });
    mesh_sinks sinks;
    sinks.received.pool = inbox;
    sinks.received.topics = inbox;
    sinks.listening = sink<mesh_listening>([this](const mesh_listening &at) {
        m_address = at.address;
        return post_result::delivered;
    });
    m_branch = std::make_unique<mesh_supervisor>(loop, m_box, settings, peer_codec(testRecords()), sinks, random_source(7));
    CHECK_TRUE(m_branch->start().has_value());
}

const socket_address &talkative_peer::address() const
{
    return m_address;
}

int talkative_peer::answerCount() const
{
    return m_answers;
}

post_result talkative_peer::answer(const peer_message_received &message)
{
    if (!std::holds_alternative<peer_records_request>(message.message)) {
        return message.reply.post(acknowledgement {});
    }
    peer_records_response response;
    response.isReader = true;
    response.records.assign(recordCount, {"key", std::string(valueBytes, 'v')});
    ++m_answers;
    return message.reply.post(std::move(response));
}

} // namespace burdockshelf
