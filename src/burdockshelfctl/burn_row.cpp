#include "burdockshelfctl/burn_row.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

/// Keeps sums over all instances within 64 bits.
constexpr std::int64_t highestCount = 1'000'000'000'000'000;

struct window_count
{
    const char *key;
    request_count burn_window::*count;
};

constexpr window_count windowCounts[] = {
    {"good", &burn_window::good},
    {"latency", &burn_window::latency},
    {"refusal", &burn_window::refusal},
    {"failure", &burn_window::failure},
};

auto malformed(const std::string &pointer, const std::string &allowed)
{
    return failure(error_code::unavailable, "/burn: " + pointer + " is not " + allowed);
}

outcome<burn_window> readWindow(const json &row, const char *key, const std::string &pointer)
{
    burn_window window;
    if (!row.contains(key) || !row[key].is_object()) {
        return malformed(pointer + "/" + key, "an object of counts");
    }
    for (const window_count &field : windowCounts) {
        const json count = row[key].value(field.key, json());
        const bool isAllowed = count.is_number_integer() && count >= 0 && count <= highestCount;
        if (!isAllowed) {
            return malformed(pointer + "/" + key + "/" + field.key, "a count of requests");
        }
        window.*field.count = request_count(count.get<std::int64_t>());
    }
    return window;
}

outcome<std::string> readName(const json &row, const char *key, const std::string &pointer)
{
    if (!row.contains(key) || !row[key].is_string()) {
        return malformed(pointer + "/" + key, "a name");
    }
    return row[key].get<std::string>();
}

outcome<burn_row> readRow(const json &row, const std::string &pointer)
{
    if (!row.is_object()) {
        return malformed(pointer, "an object");
    }
    burn_row result;
    BOOST_OUTCOME_TRY(workspace, readName(row, "workspace", pointer));
    BOOST_OUTCOME_TRY(urgency, readName(row, "urgency", pointer));
    result.subject = {workspace_id(workspace), urgency_class_id(urgency)};
    const json objective = row.value("objective", json());
    if (!objective.is_number() || objective <= 0.0 || objective >= 1.0) {
        return malformed(pointer + "/objective", "a share between 0 and 1");
    }
    result.objective = objective.get<double>();
    BOOST_OUTCOME_TRY(shortWindow, readWindow(row, "short", pointer));
    BOOST_OUTCOME_TRY(longWindow, readWindow(row, "long", pointer));
    result.shortWindow = shortWindow;
    result.longWindow = longWindow;
    return result;
}

} // namespace

request_count burn_window::bad() const
{
    return latency + refusal + failure;
}

request_count burn_window::total() const
{
    return good + bad();
}

burn_window &burn_window::operator+=(const burn_window &other)
{
    for (const window_count &field : windowCounts) {
        this->*field.count += other.*field.count;
    }
    return *this;
}

double burnRate(const burn_window &window, double objective)
{
    if (window.total() == request_count(0)) {
        return 0;
    }
    const double badShare = static_cast<double>(window.bad().value()) / static_cast<double>(window.total().value());
    return badShare / (1 - objective);
}

double budgetLeft(const burn_row &row)
{
    return 1 - burnRate(row.longWindow, row.objective);
}

outcome<std::vector<burn_row>> decodeBurnRows(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("rows") || !parsed["rows"].is_array()) {
        return malformed("the answer", "an object with rows");
    }
    std::vector<burn_row> rows;
    for (std::size_t i = 0; i < parsed["rows"].size(); ++i) {
        BOOST_OUTCOME_TRY(row, readRow(parsed["rows"][i], "/rows/" + std::to_string(i)));
        rows.push_back(row);
    }
    return rows;
}

} // namespace burdockshelf
