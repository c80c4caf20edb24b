#include "metrics/prometheus_text.h"

#include <array>
#include <chrono>
#include <limits>
#include <sstream>

namespace burdockshelf
{

namespace
{

constexpr std::string_view prefix = "burdockshelf_";
constexpr std::array<std::string_view, burnCauseCount> outcomeNames = {"good", "latency", "refusal", "failure"};
// Include both latency targets, 28 ms and 1.2 s.
constexpr std::array<int, 12> histogramBoundsMs = {5, 10, 20, 28, 50, 100, 250, 500, 1200, 2500, 5000, 10000};

std::string escape(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character == '\n' ? std::string("\\n") : std::string(1, character);
    }
    return text;
}

/// Writes sample lines, and a TYPE line before the first sample of each metric.
class line_writer
{
public:
    line_writer()
    {
        m_text.precision(std::numeric_limits<double>::max_digits10);
    }

    void type(const std::string &name, std::string_view kind)
    {
        if (name != m_lastName) {
            m_text << "# TYPE " << prefix << name << ' ' << kind << '\n';
            m_lastName = name;
        }
    }

    template<typename Value>
    void line(const std::string &name, const std::vector<metric_label> &labels, Value value)
    {
        m_text << prefix << name;
        char separator = '{';
        for (const metric_label &label : labels) {
            m_text << separator << label.name << "=\"" << escape(label.value) << '"';
            separator = ',';
        }
        m_text << (labels.empty() ? " " : "} ") << value << '\n';
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    std::ostringstream m_text;
    std::string m_lastName;
};

std::vector<metric_label> withLabel(std::vector<metric_label> labels, std::string name, std::string value)
{
    labels.push_back({std::move(name), std::move(value)});
    return labels;
}

void writeHistogram(line_writer &out, const metric_name &metric, const latency_sketch &sketch)
{
    constexpr double microsecondsPerSecond = 1e6;
    out.type(metric.name, "histogram");
    for (const int bound : histogramBoundsMs) {
        std::ostringstream seconds;
        seconds << static_cast<double>(bound) / 1000.0;
        out.line(
            metric.name + "_bucket", withLabel(metric.labels, "le", seconds.str()), sketch.countUpTo(std::chrono::milliseconds(bound)));
    }
    out.line(metric.name + "_bucket", withLabel(metric.labels, "le", "+Inf"), sketch.count());
    const double sum = static_cast<double>(sketch.mean().count()) * static_cast<double>(sketch.count());
    out.line(metric.name + "_sum", metric.labels, sum / microsecondsPerSecond);
    out.line(metric.name + "_count", metric.labels, sketch.count());
}

void writeServiceLevelCounts(line_writer &out, const service_level_tracker &ledger, instant now)
{
    for (const service_level_row &row : ledger.rows(now)) {
        const std::vector<metric_label> labels = {{"workspace", row.workspace.value()}, {"urgency", row.urgency.value()}};
        out.type("requests_by_service_level_total", "counter");
        for (std::size_t i = 0; i < burnCauseCount; ++i) {
            if (row.total.at(i) > 0) {
                out.line("requests_by_service_level_total", withLabel(labels, "cause", std::string(outcomeNames.at(i))), row.total.at(i));
            }
        }
    }
}

} // namespace

std::string prometheusText(const metric_registry &registry, instant now)
{
    line_writer out;
    for (const auto &[metric, value] : registry.counters()) {
        out.type(metric.name, "counter");
        out.line(metric.name, metric.labels, value);
    }
    for (const auto &[metric, value] : registry.gauges()) {
        out.type(metric.name, "gauge");
        out.line(metric.name, metric.labels, value);
    }
    for (const auto &[metric, sketch] : registry.latencies()) {
        writeHistogram(out, metric, sketch);
    }
    writeServiceLevelCounts(out, registry.burn(), now);
    out.type("dropped_metric_updates_total", "counter");
    out.line("dropped_metric_updates_total", {}, registry.droppedUpdates());
    return out.text();
}

} // namespace burdockshelf
