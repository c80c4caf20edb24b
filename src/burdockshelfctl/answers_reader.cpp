#include "burdockshelfctl/answers_reader.h"

#include "burdockshelfctl/answer_section.h"
#include "burdockshelfctl/configuration_check.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

constexpr std::size_t longestQuote = 60;
constexpr std::string_view nameAllowed = "a name of 1 to 64 lower-case letters, digits, '.', '_' and '-'";

std::string quotedJson(const json &value)
{
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > longestQuote) {
        text.resize(longestQuote);
        text += "...";
    }
    return text;
}

/// Reads one entry of a section. Adds to the findings what is wrong with it.
template<typename Section>
class entry_reader
{
public:
    using settings_type = typename Section::settings_type;

    entry_reader(const Section &section, const json &entry, std::string pointer, answers_result &result)
        : m_section(section)
        , m_entry(entry)
        , m_pointer(std::move(pointer))
        , m_result(result)
    {
    }

    void read()
    {
        if (!m_entry.is_object()) {
            report("", quotedJson(m_entry), "an object with the answers about one " + std::string(m_section.singular));
            return;
        }
        const std::size_t faultsBefore = m_result.findings.size();
        readName();
        for (const auto &field : m_section.fields) {
            readField(field);
        }
        refuseUnknownKeys();
        if (m_result.findings.size() == faultsBefore) {
            (m_result.config.*m_section.entries).emplace(m_id, m_settings);
        }
    }

private:
    void report(const std::string &key, std::string found, std::string allowed)
    {
        m_result.findings.push_back({key.empty() ? m_pointer : m_pointer + "/" + key, std::move(found), std::move(allowed)});
    }

    void readName()
    {
        const std::string name = m_entry.contains("name") ? answerText(m_entry["name"]) : std::string();
        m_id = typename Section::id_type(name);
        if (!isPlainName(name)) {
            report("name", m_entry.contains("name") ? quotedJson(m_entry["name"]) : "nothing", std::string(nameAllowed));
        } else if ((m_result.config.*m_section.entries).contains(m_id)) {
            report(
                "name", quotedJson(m_entry["name"]) + " a second time", "a name that no other " + std::string(m_section.singular) + " has");
        }
    }

    void readField(const answer_field<settings_type> &field)
    {
        const std::string key(field.key);
        if (field.applies != nullptr && !field.applies(m_settings)) {
            if (m_entry.contains(key)) {
                report(key, quotedJson(m_entry[key]), "no answer, because the question does not apply here");
            }
            return;
        }
        const bool isGiven = m_entry.contains(key);
        const std::string text = isGiven ? answerText(m_entry[key]) : std::string(field.fallback);
        if (field.read(text, field.range, m_result.config, m_settings)) {
            return;
        }
        const std::string choices = field.choices(m_result.config);
        report(key,
               isGiven ? quotedJson(m_entry[key]) : "nothing",
               std::string(field.allowed) + (choices.empty() ? "" : " (" + choices + ")"));
    }

    void refuseUnknownKeys()
    {
        for (const auto &[key, value] : m_entry.items()) {
            const bool isField =
                std::any_of(m_section.fields.begin(), m_section.fields.end(), [&key = key](const auto &field) { return field.key == key; });
            if (!isField && key != "name") {
                report("", "the unknown key " + quotedJson(key), allowedKeys());
            }
        }
    }

    std::string allowedKeys() const
    {
        std::string list = "name";
        for (const auto &field : m_section.fields) {
            list += ", " + std::string(field.key);
        }
        return list;
    }

    const Section &m_section;
    const json &m_entry;
    std::string m_pointer;
    answers_result &m_result;
    typename Section::id_type m_id;
    settings_type m_settings;
};

template<typename Section>
void readSection(const Section &section, const json &answers, answers_result &result)
{
    const std::string key(section.key);
    const std::string pointer = "/" + key;
    if (!answers.contains(key)) {
        result.findings.push_back({pointer, "nothing", "a list with at least one " + std::string(section.singular)});
        return;
    }
    const json &list = answers[key];
    if (!list.is_array() || list.empty()) {
        result.findings.push_back({pointer, quotedJson(list), "a list with at least one " + std::string(section.singular)});
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        entry_reader<Section>(section, list[i], pointer + "/" + std::to_string(i), result).read();
    }
}

void refuseUnknownSections(const json &answers, answers_result &result)
{
    for (const auto &[key, value] : answers.items()) {
        bool isKnown = false;
        forEachSection([&isKnown, &key = key](const auto &section) { isKnown = isKnown || section.key == key; });
        if (!isKnown) {
            result.findings.push_back(
                {"", "the unknown key " + quotedJson(key), "urgency_classes, data_centres, workspaces, services, endpoints"});
        }
    }
}

} // namespace

outcome<json> parseAnswersText(std::string_view text, const std::string &fileName)
{
    // The JSON library reports by exceptions; they end here.
    try {
        return json::parse(text);
    } catch (const json::parse_error &problem) {
        const std::string_view before = text.substr(0, problem.byte > 0 ? problem.byte - 1 : 0);
        const auto line = 1 + std::count(before.begin(), before.end(), '\n');
        const auto column = before.size() - (before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1) + 1;
        return failure(error_code::invalid_settings,
                       fileName + ": line " + std::to_string(line) + ", column " + std::to_string(column)
                           + ": found no valid JSON, allowed: an "
                           + "object with the lists urgency_classes, data_centres, workspaces, services and endpoints");
    }
}

answers_result readAnswers(const json &answers)
{
    answers_result result;
    if (!answers.is_object()) {
        result.findings.push_back({"", quotedJson(answers), "an object with the lists of answers"});
        return result;
    }
    forEachSection([&](const auto &section) { readSection(section, answers, result); });
    refuseUnknownSections(answers, result);
    if (result.findings.empty()) {
        result.findings = checkConfiguration(result.config);
    }
    return result;
}

std::string answerText(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_number_integer() || value.is_boolean() ? value.dump() : std::string();
}

} // namespace burdockshelf
