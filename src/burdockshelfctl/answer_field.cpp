#include "burdockshelfctl/answer_field.h"

namespace burdockshelf
{

namespace
{

template<typename Id, typename Settings>
bool readKnownName(std::string_view text, const std::map<Id, Settings> &known, Id &member)
{
    const Id named {std::string(text)};
    const bool isKnown = known.contains(named);
    member = isKnown ? named : member;
    return isKnown;
}

template<typename Id, typename Settings>
std::string listNames(const std::map<Id, Settings> &known)
{
    std::string list;
    for (const auto &[id, settings] : known) {
        list += (list.empty() ? "" : ", ") + id.value();
    }
    return list;
}

} // namespace

bool readMember(std::string_view text, answer_range range, const configuration & /*known*/, std::chrono::milliseconds &member)
{
    std::int64_t value = 0;
    const bool isAllowed = readAnswer(text, range, value);
    member = isAllowed ? std::chrono::milliseconds(value) : member;
    return isAllowed;
}

bool readMember(std::string_view text, answer_range range, const configuration & /*known*/, std::int64_t &member)
{
    return readAnswer(text, range, member);
}

bool readMember(std::string_view text, answer_range range, const configuration & /*known*/, int &member)
{
    std::int64_t value = 0;
    const bool isAllowed = readAnswer(text, range, value);
    member = isAllowed ? static_cast<int>(value) : member;
    return isAllowed;
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, bool &member)
{
    return readAnswer(text, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, service_kind &member)
{
    return readAnswer(text, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, endpoint_role &member)
{
    return readAnswer(text, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, socket_address &member)
{
    return readAnswer(text, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, std::string &member)
{
    member = isPathPrefix(text) ? text : member;
    return isPathPrefix(text);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration & /*known*/, region_id &member)
{
    member = isPlainName(text) ? region_id(std::string(text)) : member;
    return isPlainName(text);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration &known, service_id &member)
{
    return readKnownName(text, known.services, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration &known, data_centre_id &member)
{
    return readKnownName(text, known.dataCentres, member);
}

bool readMember(std::string_view text, answer_range /*range*/, const configuration &known, urgency_class_id &member)
{
    return readKnownName(text, known.urgencyClasses, member);
}

nlohmann::json memberJson(std::chrono::milliseconds member)
{
    return member.count();
}

nlohmann::json memberJson(std::int64_t member)
{
    return member;
}

nlohmann::json memberJson(int member)
{
    return member;
}

nlohmann::json memberJson(bool member)
{
    return member;
}

nlohmann::json memberJson(service_kind member)
{
    return serviceKindName(member);
}

nlohmann::json memberJson(endpoint_role member)
{
    return endpointRoleName(member);
}

nlohmann::json memberJson(const socket_address &member)
{
    return member.toString();
}

nlohmann::json memberJson(const std::string &member)
{
    return member;
}

std::string choicesFor(const configuration &known, const service_id * /*type*/)
{
    return listNames(known.services);
}

std::string choicesFor(const configuration &known, const data_centre_id * /*type*/)
{
    return listNames(known.dataCentres);
}

std::string choicesFor(const configuration &known, const urgency_class_id * /*type*/)
{
    return listNames(known.urgencyClasses);
}

} // namespace burdockshelf
