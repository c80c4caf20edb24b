#pragma once

#include "burdockshelfctl/answer_section.h"
#include "core/outcome.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Asks on a terminal for everything that the answers do not hold yet, and passes them on after every answer, so that nothing is lost when
/// the terminal goes away.
class questionnaire
{
public:
    using save_function = std::function<outcome<void>(const nlohmann::json &)>;

    questionnaire(std::istream &in, std::ostream &out, nlohmann::json answers, save_function save);

    /// Asks until everything is answered. Fails when the input ends early or the answers cannot be saved.
    outcome<void> run();
    const nlohmann::json &answers() const;

private:
    template<typename Section>
    outcome<void> askSection(const Section &section);
    template<typename Section>
    outcome<void> askEntry(const Section &section, nlohmann::json &entry);
    template<typename Section>
    outcome<bool> askName(const Section &section);
    template<typename Settings>
    outcome<void> askField(const answer_field<Settings> &field, nlohmann::json &entry, Settings &settings);
    /// One line from the terminal without surrounding blanks.
    outcome<std::string> readLine();
    outcome<void> save();

    std::istream &m_in;
    std::ostream &m_out;
    nlohmann::json m_answers;
    save_function m_save;
    /// The entries answered so far, whose names later answers refer to.
    configuration m_known;
};

} // namespace burdockshelf
