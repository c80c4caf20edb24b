#pragma once

#include "core/outcome.h"
#include "log_service/listed_instance.h"
#include "wire/record_codec.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Body of a request to append a record to the log.
struct log_append
{
    record_id id;
    encoded_record content;
};

/// A record as returned by a read of the platform's log.
struct logged_record
{
    log_offset offset;
    record_id id;
    encoded_record content;
};

/// Body of the response to a read of the log.
struct log_page
{
    log_offset first;
    log_offset head;
    std::vector<logged_record> records;
};

/// Bodies of the platform's HTTP interface. Unknown members are ignored, because the platform may add members.
std::string encodeLogAppend(const log_append &append);
outcome<log_append> decodeLogAppend(std::string_view text);
std::string encodeAppendResponse(log_offset offset);
outcome<log_offset> decodeAppendResponse(std::string_view text);
std::string encodeLogPage(const log_page &page);
outcome<log_page> decodeLogPage(std::string_view text);
std::string encodeInstance(const listed_instance &instance);
outcome<listed_instance> decodeInstance(std::string_view text);
std::string encodeInstanceList(const std::vector<listed_instance> &instances);
outcome<std::vector<listed_instance>> decodeInstanceList(std::string_view text);

} // namespace burdockshelf
