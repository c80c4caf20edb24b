#pragma once

#include "core/outcome.h"
#include "policy/peer_message.h"
#include "wire/json_limits.h"
#include "wire/peer_hello.h"
#include "wire/record_codec_table.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// A mesh message as it is sent: its kind and a JSON body.
struct encoded_peer_message
{
    std::string kind;
    std::string body;
};

/// Encodes and decodes the messages between instances. Member names are short because control traffic is limited to 2 KB/s per node.
class peer_codec
{
public:
    /// The limits apply to the bodies of messages.
    explicit peer_codec(record_codec_table records, json_limits limits = documentLimits);

    encoded_peer_message encode(const peer_message &message) const;
    /// A kind that this build does not know gives the error unsupported; a body that does not match its kind gives invalid_message.
    outcome<peer_message> decode(std::string_view kind, std::string_view body) const;

    std::string encodeHello(const peer_hello &hello) const;
    outcome<peer_hello> decodeHello(std::string_view body) const;

    std::string encodeError(const error &refusal) const;
    /// The error encoded in the body. A malformed body gives an invalid_message error; an unknown error code is replaced by internal.
    error decodeError(std::string_view body) const;

private:
    record_codec_table m_records;
    json_limits m_limits;
};

} // namespace burdockshelf
