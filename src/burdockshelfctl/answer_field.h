#pragma once

#include "burdockshelfctl/answer_text.h"
#include "state/configuration.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// One question about an entry: its key in the answers file, the question on the terminal and what may be answered. The functions read and
/// write one member of the entry's settings; answerField() makes them from a member pointer.
template<typename Settings>
struct answer_field
{
    std::string_view key;
    std::string_view question;
    /// What is allowed, in words.
    std::string_view allowed;
    /// The answer when none is given; the question must be answered when this is empty.
    std::string_view fallback;
    answer_range range;
    bool (*read)(std::string_view text, answer_range range, const configuration &known, Settings &settings);
    nlohmann::json (*write)(const Settings &settings);
    /// Names that may be answered, when they are those of other entries.
    std::string (*choices)(const configuration &known);
    /// Whether the question makes sense after the answers before it; always when null.
    bool (*applies)(const Settings &settings);
};

// Reading, writing and choices by type of the member.

template<typename Tag>
bool readMember(std::string_view text, answer_range range, const configuration & /*known*/, quantity<Tag> &member)
{
    std::int64_t value = 0;
    const bool isAllowed = readAnswer(text, range, value);
    member = isAllowed ? quantity<Tag>(value) : member;
    return isAllowed;
}

bool readMember(std::string_view text, answer_range range, const configuration &known, std::chrono::milliseconds &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, std::int64_t &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, int &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, bool &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, service_kind &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, endpoint_role &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, socket_address &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, std::string &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, region_id &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, service_id &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, data_centre_id &member);
bool readMember(std::string_view text, answer_range range, const configuration &known, urgency_class_id &member);

template<typename Tag>
nlohmann::json memberJson(const quantity<Tag> &member)
{
    return member.value();
}

template<typename Tag>
nlohmann::json memberJson(const strong_id<Tag> &member)
{
    return member.value();
}

nlohmann::json memberJson(std::chrono::milliseconds member);
nlohmann::json memberJson(std::int64_t member);
nlohmann::json memberJson(int member);
nlohmann::json memberJson(bool member);
nlohmann::json memberJson(service_kind member);
nlohmann::json memberJson(endpoint_role member);
nlohmann::json memberJson(const socket_address &member);
nlohmann::json memberJson(const std::string &member);

template<typename Member>
std::string choicesFor(const configuration & /*known*/, const Member * /*type*/)
{
    return {};
}

std::string choicesFor(const configuration &known, const service_id *type);
std::string choicesFor(const configuration &known, const data_centre_id *type);
std::string choicesFor(const configuration &known, const urgency_class_id *type);

/// The wording of a question.
struct question_text
{
    std::string_view key;
    std::string_view question;
    std::string_view allowed;
    std::string_view fallback;
};

template<typename Settings, auto Member>
constexpr answer_field<Settings> answerField(question_text text, answer_range range = {}, bool (*applies)(const Settings &) = nullptr)
{
    return {text.key,
            text.question,
            text.allowed,
            text.fallback,
            range,
            [](std::string_view answer, answer_range allowed, const configuration &known, Settings &settings) {
                return readMember(answer, allowed, known, settings.*Member);
            },
            [](const Settings &settings) { return memberJson(settings.*Member); },
            [](const configuration &known) {
                const Settings sample;
                return choicesFor(known, &(sample.*Member));
            },
            applies};
}

} // namespace burdockshelf
