#include "burdockshelfctl/burn_page.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <vector>

namespace burdockshelf
{

namespace
{

// Measures of the plots in SVG user units.
constexpr double labelWidth = 260;
constexpr double plotWidth = 480;
constexpr double rowHeight = 40;
constexpr double barHeight = 14;
constexpr double textOffset = 11;
constexpr double axisHeight = 24;
constexpr double valueWidth = 70;

constexpr std::string_view style = "body{font:15px/1.5 sans-serif;margin:2em auto;max-width:60em;color:#222}"
                                   "table{border-collapse:collapse}th,td{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}"
                                   "th:nth-child(-n+2),td:nth-child(-n+2){text-align:left}text{font:12px sans-serif;fill:#222}"
                                   ".short{fill:#c2571a}.long{fill:#2b6cb0}.left{fill:#2f855a}.over{fill:#b91c1c}.mark{stroke:#444;"
                                   "stroke-dasharray:4 3}";

/// One bar of a plot: its value and its class in the style sheet.
struct plot_bar
{
    double value = 0;
    std::string_view style;
};

/// A plot is a strategy: the bars of a row, the value at the right edge and the value of the dashed line.
struct plot
{
    std::string_view title;
    std::string_view caption;
    double (*scale)(const burn_report &report);
    double mark;
    std::vector<plot_bar> (*bars)(const burn_row &row);
};

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += letter;
        }
    }
    return result;
}

std::string label(const burn_row &row)
{
    return escaped(row.subject.workspace.value() + " / " + row.subject.urgency.value());
}

/// The greatest burn rate, but at least 2, so that the line at 1 stays well inside the plot.
double burnScale(const burn_report &report)
{
    double highest = 2;
    for (const auto &[subject, row] : report.rows()) {
        highest = std::max({highest, burnRate(row.shortWindow, row.objective), burnRate(row.longWindow, row.objective)});
    }
    return highest;
}

double fullScale(const burn_report & /*report*/)
{
    return 1;
}

std::vector<plot_bar> burnBars(const burn_row &row)
{
    return {{burnRate(row.shortWindow, row.objective), "short"}, {burnRate(row.longWindow, row.objective), "long"}};
}

std::vector<plot_bar> budgetBars(const burn_row &row)
{
    const double left = budgetLeft(row);
    return {{left, left < 0 ? "over" : "left"}};
}

constexpr plot plots[] = {
    {"Burn rate",
     "Upper bar: short window; lower bar: long window. At 1, the dashed line, the error budget is used up exactly by the end of its "
     "period.",
     &burnScale,
     1,
     &burnBars},
    {"Error budget left",
     "Share of the long window's budget that is left. A red bar shows by how much it is overdrawn.",
     &fullScale,
     0,
     &budgetBars},
};

void drawBar(std::ostream &page, const plot_bar &bar, double top, double scale)
{
    const double width = std::min(std::abs(bar.value) / scale, 1.0) * plotWidth;
    page << "<rect class=\"" << bar.style << "\" x=\"" << labelWidth << "\" y=\"" << top << "\" width=\"" << width << "\" height=\""
         << barHeight << "\"/><text x=\"" << labelWidth + width + 4 << "\" y=\"" << top + textOffset << "\">" << bar.value << "</text>\n";
}

void drawMark(std::ostream &page, double at, double height)
{
    page << "<line class=\"mark\" x1=\"" << at << "\" y1=\"0\" x2=\"" << at << "\" y2=\"" << height << "\"/>\n";
}

void drawPlot(std::ostream &page, const plot &drawn, const burn_report &report)
{
    const double scale = drawn.scale(report);
    const double height = rowHeight * static_cast<double>(report.rows().size());
    page << "<h2>" << drawn.title << "</h2>\n<p>" << drawn.caption << "</p>\n<svg role=\"img\" aria-label=\"" << drawn.title
         << "\" width=\"" << labelWidth + plotWidth + valueWidth << "\" height=\"" << height + axisHeight << "\">\n";
    double top = 0;
    for (const auto &[subject, row] : report.rows()) {
        page << "<text x=\"0\" y=\"" << top + textOffset << "\">" << label(row) << "</text>\n";
        double barTop = top;
        for (const plot_bar &bar : drawn.bars(row)) {
            drawBar(page, bar, barTop, scale);
            barTop += barHeight;
        }
        top += rowHeight;
    }
    drawMark(page, labelWidth + drawn.mark / scale * plotWidth, height);
    page << "<text x=\"" << labelWidth << "\" y=\"" << height + textOffset << "\">0</text><text x=\"" << labelWidth + plotWidth << "\" y=\""
         << height + textOffset << "\" text-anchor=\"end\">" << scale << "</text>\n</svg>\n";
}

void writeTable(std::ostream &page, const burn_report &report)
{
    page << "<h2>Requests of the long window</h2>\n<table><tr><th>workspace</th><th>urgency class</th><th>objective</th><th>good</th>"
            "<th>late</th><th>refused</th><th>failed</th></tr>\n";
    for (const auto &[subject, row] : report.rows()) {
        const burn_window &counts = row.longWindow;
        page << "<tr><td>" << escaped(subject.workspace.value()) << "</td><td>" << escaped(subject.urgency.value()) << "</td><td>"
             << std::setprecision(4) << row.objective << std::setprecision(2) << "</td><td>" << counts.good << "</td><td>" << counts.latency
             << "</td><td>" << counts.refusal << "</td><td>" << counts.failure << "</td></tr>\n";
    }
    page << "</table>\n";
}

void writeMissing(std::ostream &page, const burn_report &report)
{
    for (const missing_instance &instance : report.missing()) {
        page << "<p>Not included: " << escaped(instance.server.toString()) << ": " << escaped(instance.cause.message) << "</p>\n";
    }
}

} // namespace

std::string burnPage(const burn_report &report)
{
    std::ostringstream page;
    page << std::fixed << std::setprecision(2)
         << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>"
         << "<style>" << style << "</style></head><body>\n<h1>Service-level burn</h1>\n";
    writeMissing(page, report);
    for (const plot &drawn : plots) {
        drawPlot(page, drawn, report);
    }
    writeTable(page, report);
    page << "</body></html>\n";
    return page.str();
}

} // namespace burdockshelf
