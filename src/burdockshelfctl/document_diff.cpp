#include "burdockshelfctl/document_diff.h"

#include "wire/configuration_codec.h"

#include <set>
#include <string_view>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

constexpr std::string_view sections[] = {"data_centres", "workspaces", "services", "endpoints", "urgency_classes"};

json entryOf(const json &document, const std::string &section, const std::string &name)
{
    return document.contains(section) && document[section].contains(name) ? document[section][name] : json();
}

void collectNames(const json &document, const std::string &section, std::set<std::string> &names)
{
    if (document.contains(section)) {
        for (const auto &[name, entry] : document[section].items()) {
            names.insert(name);
        }
    }
}

void diffSection(const json &from, const json &to, const std::string &section, std::vector<entry_change> &changes)
{
    std::set<std::string> names;
    collectNames(from, section, names);
    collectNames(to, section, names);
    for (const std::string &name : names) {
        json before = entryOf(from, section, name);
        json after = entryOf(to, section, name);
        if (before != after) {
            changes.push_back({section, name, std::move(before), std::move(after)});
        }
    }
}

std::string fieldChanges(const entry_change &change)
{
    std::string text;
    for (const auto &[field, value] : change.after.items()) {
        const json before = change.before.contains(field) ? change.before[field] : json();
        if (before != value) {
            text += (text.empty() ? " " : ", ") + field + " " + before.dump() + " -> " + value.dump();
        }
    }
    return text;
}

std::string lineOf(const entry_change &change)
{
    const std::string name = change.section + "/" + change.entry;
    if (change.before.is_null()) {
        return "+ " + name + " " + change.after.dump() + "\n";
    }
    if (change.after.is_null()) {
        return "- " + name + "\n";
    }
    return "~ " + name + ":" + fieldChanges(change) + "\n";
}

} // namespace

std::vector<entry_change> diffDocuments(const configuration &from, const configuration &to)
{
    const json before = json::parse(encodeConfiguration(from));
    const json after = json::parse(encodeConfiguration(to));
    std::vector<entry_change> changes;
    for (const std::string_view section : sections) {
        diffSection(before, after, std::string(section), changes);
    }
    return changes;
}

std::string diffText(const std::vector<entry_change> &changes)
{
    std::string text;
    for (const entry_change &change : changes) {
        text += lineOf(change);
    }
    return text;
}

json diffJson(const std::vector<entry_change> &changes)
{
    json list = json::array();
    for (const entry_change &change : changes) {
        list.push_back({{"section", change.section}, {"entry", change.entry}, {"before", change.before}, {"after", change.after}});
    }
    return {{"changes", list}};
}

} // namespace burdockshelf
