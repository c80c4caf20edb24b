#include "wire/platform_codec.h"

#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <array>

namespace burdockshelf
{

namespace
{

constexpr std::array instanceStates = {
    enum_name<instance_state> {instance_state::live, "live"},
    enum_name<instance_state> {instance_state::leaving, "leaving"},
};

outcome<json_reader> parseMessage(std::string_view text)
{
    return json_reader::parse(text, error_code::invalid_message, messageLimits);
}

void writeIdAndContent(json_writer &writer, const record_id &id, const encoded_record &content)
{
    writer.set("id", id);
    writer.set("kind", content.kind);
    writer.set("body", content.body);
}

encoded_record readContent(json_reader &reader)
{
    return {reader.text("kind"), reader.text("body")};
}

void writeInstance(json_writer &writer, const listed_instance &instance)
{
    writer.set("instance", instance.instance);
    writer.set("incarnation", instance.incarnation);
    writer.set("data_centre", instance.dataCentre);
    writer.set("mesh", instance.mesh.toString());
    writer.set("state", enumName(instance.state, instanceStates));
}

listed_instance readInstance(json_reader &reader)
{
    listed_instance instance;
    instance.instance = reader.id<instance_id>("instance");
    instance.incarnation = reader.id<incarnation_id>("incarnation");
    instance.dataCentre = reader.id<data_centre_id>("data_centre");
    const auto mesh = socket_address::parse(reader.text("mesh"));
    if (mesh) {
        instance.mesh = mesh.value();
    } else {
        reader.reject("mesh", "ip:port");
    }
    instance.state = reader.enumeration("state", instanceStates);
    return instance;
}

} // namespace

std::string encodeLogAppend(const log_append &append)
{
    json_writer writer;
    writeIdAndContent(writer, append.id, append.content);
    return writer.toString();
}

outcome<log_append> decodeLogAppend(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, parseMessage(text));
    log_append append;
    append.id = reader.id<record_id>("id");
    append.content = readContent(reader);
    BOOST_OUTCOME_TRYV(reader.result());
    return append;
}

std::string encodeAppendResponse(log_offset offset)
{
    json_writer writer;
    writer.set("offset", offset);
    return writer.toString();
}

outcome<log_offset> decodeAppendResponse(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, parseMessage(text));
    const auto offset = reader.amount<log_offset>("offset");
    BOOST_OUTCOME_TRYV(reader.result());
    return offset;
}

std::string encodeLogPage(const log_page &page)
{
    json_writer writer;
    writer.set("first", page.first);
    writer.set("head", page.head);
    writer.array("records");
    for (const logged_record &record : page.records) {
        json_writer entry = writer.append("records");
        entry.set("offset", record.offset);
        writeIdAndContent(entry, record.id, record.content);
    }
    return writer.toString();
}

outcome<log_page> decodeLogPage(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, parseMessage(text));
    log_page page;
    page.first = reader.amount<log_offset>("first");
    page.head = reader.amount<log_offset>("head");
    for (json_reader &entry : reader.objects("records")) {
        logged_record record;
        record.offset = entry.amount<log_offset>("offset");
        record.id = record_id(entry.text("id"));
        record.content = readContent(entry);
        page.records.push_back(std::move(record));
    }
    BOOST_OUTCOME_TRYV(reader.result());
    return page;
}

std::string encodeInstance(const listed_instance &instance)
{
    json_writer writer;
    writeInstance(writer, instance);
    return writer.toString();
}

outcome<listed_instance> decodeInstance(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, parseMessage(text));
    listed_instance instance = readInstance(reader);
    BOOST_OUTCOME_TRYV(reader.result());
    return instance;
}

std::string encodeInstanceList(const std::vector<listed_instance> &instances)
{
    json_writer writer;
    writer.array("instances");
    for (const listed_instance &instance : instances) {
        json_writer entry = writer.append("instances");
        writeInstance(entry, instance);
    }
    return writer.toString();
}

outcome<std::vector<listed_instance>> decodeInstanceList(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, parseMessage(text));
    std::vector<listed_instance> instances;
    for (json_reader &entry : reader.objects("instances")) {
        instances.push_back(readInstance(entry));
    }
    BOOST_OUTCOME_TRYV(reader.result());
    return instances;
}

} // namespace burdockshelf
