#include "mesh/peer_sinks.h"

#include <array>

namespace burdockshelf
{

namespace
{

using sink_member = sink<peer_message_received> peer_sinks::*;

// The sink for each alternative of peer_message, in the order of the variant; null for responses.
constexpr std::array<sink_member, std::variant_size_v<peer_message>> sinkMembers = {
    &peer_sinks::roster, // peer_freshness_request
    nullptr, // peer_freshness_response
    &peer_sinks::quota, // peer_loan_request
    nullptr, // peer_loan_response
    &peer_sinks::quota, // loan_refund
    &peer_sinks::slots, // peer_slot_request
    nullptr, // peer_slot_response
    &peer_sinks::slots, // peer_slot_release
    &peer_sinks::slots, // slot_holdings
    &peer_sinks::configuration, // record_relay
    &peer_sinks::configuration, // peer_state_request
    nullptr, // peer_state_response
    &peer_sinks::pool, // peer_pool_request
    nullptr, // peer_pool_response
    &peer_sinks::pool, // peer_pool_refund
    &peer_sinks::topics, // peer_records_request
    nullptr, // peer_records_response
    &peer_sinks::topics, // peer_crash_report
    &peer_sinks::streams, // peer_stream_lookup
    nullptr, // peer_stream_origin
    &peer_sinks::streams, // peer_open_streams
    nullptr, // acknowledgement
};

} // namespace

const sink<peer_message_received> *peer_sinks::find(const peer_message &message) const
{
    const sink_member member = sinkMembers.at(message.index());
    return member == nullptr ? nullptr : &(this->*member);
}

} // namespace burdockshelf
