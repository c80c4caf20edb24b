#include "wire/configuration_codec.h"

#include "state/find_dangling_reference.h"
#include "wire/configuration_entry_codec.h"

namespace burdockshelf
{

namespace
{

constexpr int documentVersion = 1;

template<typename Key, typename Value>
void writeSection(json_writer &writer, std::string_view name, const std::map<Key, Value> &entries)
{
    json_writer section = writer.object(name);
    for (const auto &[key, value] : entries) {
        json_writer entry = section.object(key.value());
        writeEntry(entry, value);
    }
}

template<typename Key, typename Value>
void writeChanges(json_writer &writer, std::string_view name, const std::map<Key, std::optional<Value>> &changes)
{
    if (changes.empty()) {
        return;
    }
    json_writer section = writer.object(name);
    for (const auto &[key, value] : changes) {
        if (value) {
            json_writer entry = section.object(key.value());
            writeEntry(entry, *value);
        } else {
            section.setNull(key.value());
        }
    }
}

template<typename Value>
Value readNamedEntry(json_reader &section, const std::string &name)
{
    Value value;
    if (name.empty()) {
        section.reject(name, "a non-empty name");
    }
    json_reader entry = section.object(name);
    readEntry(entry, value);
    return value;
}

template<typename Key, typename Value>
void readSection(json_reader &reader, std::string_view name, std::map<Key, Value> &entries)
{
    json_reader section = reader.object(name);
    for (const std::string &key : section.names()) {
        entries.emplace(key, readNamedEntry<Value>(section, key));
    }
}

template<typename Key, typename Value>
void readChanges(json_reader &reader, std::string_view name, std::map<Key, std::optional<Value>> &changes)
{
    if (!reader.has(name)) {
        return;
    }
    json_reader section = reader.object(name);
    for (const std::string &key : section.names()) {
        if (section.isNull(key)) {
            changes.emplace(key, std::nullopt);
        } else {
            changes.emplace(key, readNamedEntry<Value>(section, key));
        }
    }
}

} // namespace

outcome<configuration> decodeConfiguration(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_settings));
    reader.integer("version", {documentVersion, documentVersion});
    configuration config = readConfiguration(reader);
    BOOST_OUTCOME_TRYV(reader.finish());
    if (const auto dangling = findDanglingReference(config)) {
        const std::string allowed = "the name of an entry of /" + dangling->targetSection;
        return failure(error_code::invalid_settings,
                       reader.object(dangling->section).object(dangling->entry).pointer(dangling->field) + ": found \"" + dangling->target
                           + "\", allowed: " + allowed);
    }
    return config;
}

std::string encodeConfiguration(const configuration &config)
{
    json_writer writer;
    writer.set("version", documentVersion);
    writeConfiguration(writer, config);
    return writer.toString();
}

void writeConfiguration(json_writer &writer, const configuration &config)
{
    writeSection(writer, "data_centres", config.dataCentres);
    writeSection(writer, "workspaces", config.workspaces);
    writeSection(writer, "services", config.services);
    writeSection(writer, "endpoints", config.endpoints);
    writeSection(writer, "urgency_classes", config.urgencyClasses);
}

configuration readConfiguration(json_reader &reader)
{
    configuration config;
    readSection(reader, "data_centres", config.dataCentres);
    readSection(reader, "workspaces", config.workspaces);
    readSection(reader, "services", config.services);
    readSection(reader, "endpoints", config.endpoints);
    readSection(reader, "urgency_classes", config.urgencyClasses);
    return config;
}

void writeConfigurationChange(json_writer &writer, const configuration_change &change)
{
    writer.set("base", change.base);
    writer.set("at_ms", change.at.count());
    writeChanges(writer, "data_centres", change.dataCentres);
    writeChanges(writer, "workspaces", change.workspaces);
    writeChanges(writer, "services", change.services);
    writeChanges(writer, "endpoints", change.endpoints);
    writeChanges(writer, "urgency_classes", change.urgencyClasses);
}

configuration_change readConfigurationChange(json_reader &reader)
{
    configuration_change change;
    change.base = reader.amount<configuration_version>("base");
    change.at = record_time(reader.integer("at_ms"));
    readChanges(reader, "data_centres", change.dataCentres);
    readChanges(reader, "workspaces", change.workspaces);
    readChanges(reader, "services", change.services);
    readChanges(reader, "endpoints", change.endpoints);
    readChanges(reader, "urgency_classes", change.urgencyClasses);
    return change;
}

} // namespace burdockshelf
