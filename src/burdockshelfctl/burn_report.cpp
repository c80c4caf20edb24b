#include "burdockshelfctl/burn_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

constexpr int indent = 2;
constexpr int nameWidth = 24;
constexpr int numberWidth = 12;
constexpr int percent = 100;

json windowJson(const burn_window &window, double objective)
{
    return {{"good", window.good.value()},
            {"latency", window.latency.value()},
            {"refusal", window.refusal.value()},
            {"failure", window.failure.value()},
            {"burn_rate", burnRate(window, objective)}};
}

void writeRow(std::ostream &text, const burn_row &row)
{
    const burn_window &counts = row.longWindow;
    text << std::left << std::setw(nameWidth) << row.subject.workspace.value() << std::setw(nameWidth) << row.subject.urgency.value()
         << std::right << std::setw(numberWidth) << burnRate(row.shortWindow, row.objective) << std::setw(numberWidth)
         << burnRate(counts, row.objective) << std::setw(numberWidth) << percent * budgetLeft(row) << std::setw(numberWidth)
         << counts.good.value() << std::setw(numberWidth) << counts.latency.value() << std::setw(numberWidth) << counts.refusal.value()
         << std::setw(numberWidth) << counts.failure.value() << '\n';
}

} // namespace

void burn_report::add(const burn_row &row)
{
    burn_row &sum = m_rows[row.subject];
    sum.subject = row.subject;
    sum.objective = std::max(sum.objective, row.objective);
    sum.shortWindow += row.shortWindow;
    sum.longWindow += row.longWindow;
}

void burn_report::addMissing(missing_instance instance)
{
    m_missing.push_back(std::move(instance));
}

const std::map<burn_subject, burn_row> &burn_report::rows() const
{
    return m_rows;
}

const std::vector<missing_instance> &burn_report::missing() const
{
    return m_missing;
}

std::string burnText(const burn_report &report)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << std::left << std::setw(nameWidth) << "workspace" << std::setw(nameWidth)
         << "urgency class" << std::right;
    for (const char *title : {"short burn", "long burn", "left %", "good", "late", "refused", "failed"}) {
        text << std::setw(numberWidth) << title;
    }
    text << '\n';
    for (const auto &[subject, row] : report.rows()) {
        writeRow(text, row);
    }
    for (const missing_instance &instance : report.missing()) {
        text << "not included: " << instance.server << ": " << instance.cause.message << '\n';
    }
    return text.str();
}

std::string burnJson(const burn_report &report)
{
    json rows = json::array();
    for (const auto &[subject, row] : report.rows()) {
        rows.push_back({{"workspace", subject.workspace.value()},
                        {"urgency", subject.urgency.value()},
                        {"objective", row.objective},
                        {"short", windowJson(row.shortWindow, row.objective)},
                        {"long", windowJson(row.longWindow, row.objective)},
                        {"budget_left", budgetLeft(row)}});
    }
    json missing = json::array();
    for (const missing_instance &instance : report.missing()) {
        missing.push_back({{"instance", instance.server.toString()}, {"cause", instance.cause.message}});
    }
    const json whole = {{"rows", rows}, {"missing", missing}};
    return whole.dump(indent, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace burdockshelf
