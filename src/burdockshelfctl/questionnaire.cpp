#include "burdockshelfctl/questionnaire.h"

#include "burdockshelfctl/answers_reader.h"

namespace burdockshelf
{

namespace
{

using nlohmann::json;

std::string trimmed(const std::string &text)
{
    constexpr auto blanks = " \t\r";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string nameOf(const json &entry)
{
    return entry.contains("name") ? answerText(entry["name"]) : std::string();
}

} // namespace

questionnaire::questionnaire(std::istream &in, std::ostream &out, json answers, save_function save)
    : m_in(in)
    , m_out(out)
    , m_answers(std::move(answers))
    , m_save(std::move(save))
{
}

outcome<void> questionnaire::run()
{
    if (!m_answers.is_object()) {
        return failure(error_code::invalid_settings, "the answers file holds no object; start with a new file");
    }
    m_out << "An answer in [brackets] is taken when you press Enter. Every answer is saved; stop at any time with Ctrl-D.\n";
    outcome<void> result = success();
    forEachSection([&](const auto &section) {
        if (result.has_value()) {
            result = askSection(section);
        }
    });
    return result;
}

const json &questionnaire::answers() const
{
    return m_answers;
}

template<typename Section>
outcome<void> questionnaire::askSection(const Section &section)
{
    const std::string key(section.key);
    m_out << '\n' << section.introduction << '\n';
    if (!m_answers.contains(key)) {
        m_answers[key] = json::array();
    }
    json &list = m_answers[key];
    if (!list.is_array()) {
        return failure(error_code::invalid_settings, "/" + key + " in the answers file is not a list; mend it or start with a new file");
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        BOOST_OUTCOME_TRY(askEntry(section, list[i]));
    }
    while (true) {
        BOOST_OUTCOME_TRY(isNamed, askName(section));
        if (!isNamed) {
            return success();
        }
        BOOST_OUTCOME_TRY(askEntry(section, list.back()));
    }
}

template<typename Section>
outcome<bool> questionnaire::askName(const Section &section)
{
    json &list = m_answers[std::string(section.key)];
    while (true) {
        m_out << "Name of the " << (list.empty() ? "first " : "next ") << section.singular
              << (list.empty() ? ": " : " (Enter when there is none): ");
        BOOST_OUTCOME_TRY(name, readLine());
        if (name.empty() && !list.empty()) {
            return false;
        }
        if (!isPlainName(name)) {
            m_out << "  '" << name << "' cannot be a name. Use 1 to 64 lower-case letters, digits, '.', '_' and '-'.\n";
        } else if ((m_known.*section.entries).contains(typename Section::id_type(name))) {
            m_out << "  There is already a " << section.singular << " with this name. Choose another.\n";
        } else {
            list.push_back({{"name", name}});
            BOOST_OUTCOME_TRY(save());
            return true;
        }
    }
}

template<typename Section>
outcome<void> questionnaire::askEntry(const Section &section, json &entry)
{
    const std::string name = entry.is_object() ? nameOf(entry) : std::string();
    if (!isPlainName(name)) {
        return failure(error_code::invalid_settings,
                       "a " + std::string(section.singular) + " in the answers file has no valid name; mend the file");
    }
    typename Section::settings_type settings;
    m_out << section.singular << ' ' << name << ":\n";
    for (const auto &field : section.fields) {
        if (field.applies == nullptr || field.applies(settings)) {
            BOOST_OUTCOME_TRY(askField(field, entry, settings));
        }
    }
    (m_known.*section.entries).emplace(typename Section::id_type(name), settings);
    return success();
}

template<typename Settings>
outcome<void> questionnaire::askField(const answer_field<Settings> &field, json &entry, Settings &settings)
{
    const std::string key(field.key);
    if (entry.contains(key) && field.read(answerText(entry[key]), field.range, m_known, settings)) {
        return success();
    }
    const std::string choices = field.choices(m_known);
    while (true) {
        m_out << "  " << field.question << (choices.empty() ? "" : " (" + choices + ")")
              << (field.fallback.empty() ? "" : " [" + std::string(field.fallback) + "]") << "? ";
        BOOST_OUTCOME_TRY(typed, readLine());
        const std::string text = typed.empty() ? std::string(field.fallback) : typed;
        if (field.read(text, field.range, m_known, settings)) {
            entry[key] = field.write(settings);
            return save();
        }
        m_out << "  '" << text << "' cannot be the answer. Give " << field.allowed << (choices.empty() ? "" : ": " + choices) << ".\n";
    }
}

outcome<std::string> questionnaire::readLine()
{
    std::string line;
    if (!std::getline(m_in, line)) {
        return failure(error_code::outcome_unknown, "the questionnaire is not finished; run it again with the same file to go on");
    }
    return trimmed(line);
}

outcome<void> questionnaire::save()
{
    return m_save(m_answers);
}

} // namespace burdockshelf
