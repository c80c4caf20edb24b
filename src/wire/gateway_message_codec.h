#pragma once

#include "policy/peer_message.h"
#include "wire/member_reader.h"
#include "wire/record_codec_table.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// The members of the messages that only gateways on the users' platform exchange. The table of record codecs is not used here; all kinds
/// of messages are translated by functions with these parameters.
nlohmann::json write(const peer_pool_request &request, const record_codec_table &records);
void read(member_reader &body, peer_pool_request &request, const record_codec_table &records);
nlohmann::json write(const peer_pool_response &response, const record_codec_table &records);
void read(member_reader &body, peer_pool_response &response, const record_codec_table &records);
nlohmann::json write(const peer_pool_refund &refund, const record_codec_table &records);
void read(member_reader &body, peer_pool_refund &refund, const record_codec_table &records);
nlohmann::json write(const peer_records_request &request, const record_codec_table &records);
void read(member_reader &body, peer_records_request &request, const record_codec_table &records);
nlohmann::json write(const peer_records_response &response, const record_codec_table &records);
void read(member_reader &body, peer_records_response &response, const record_codec_table &records);
nlohmann::json write(const peer_crash_report &message, const record_codec_table &records);
void read(member_reader &body, peer_crash_report &message, const record_codec_table &records);
nlohmann::json write(const peer_stream_lookup &lookup, const record_codec_table &records);
void read(member_reader &body, peer_stream_lookup &lookup, const record_codec_table &records);
nlohmann::json write(const peer_stream_origin &origin, const record_codec_table &records);
void read(member_reader &body, peer_stream_origin &origin, const record_codec_table &records);
nlohmann::json write(const peer_open_streams &message, const record_codec_table &records);
void read(member_reader &body, peer_open_streams &message, const record_codec_table &records);

} // namespace burdockshelf
