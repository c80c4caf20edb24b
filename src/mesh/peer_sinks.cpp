#include "mesh/peer_sinks.h"

#include <array>

namespace burdockshelf
{

namespace
{

using sink_member = sink<peer_received> peer_sinks::*;

// In the order of the alternatives of peer_message.
constexpr std::array<sink_member, std::variant_size_v<peer_message>> concerned = {
    &peer_sinks::roster, // freshness_ask
    nullptr, // freshness_answer
    &peer_sinks::quota, // loan_ask
    nullptr, // loan_answer
    &peer_sinks::quota, // loan_refund
    &peer_sinks::slots, // slot_ask
    nullptr, // slot_answer
    &peer_sinks::slots, // slot_return
    &peer_sinks::slots, // slot_holdings
    &peer_sinks::configuration, // record_relay
    &peer_sinks::configuration, // state_ask
    nullptr, // state_answer
    &peer_sinks::pool, // pool_ask
    nullptr, // pool_answer
    &peer_sinks::pool, // pool_return
    &peer_sinks::topics, // records_ask
    nullptr, // records_answer
    nullptr, // acknowledgement
};

} // namespace

const sink<peer_received> *peer_sinks::find(const peer_message &message) const
{
    const sink_member member = concerned.at(message.index());
    return member == nullptr ? nullptr : &(this->*member);
}

} // namespace burdockshelf
