#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/quantity.h"

#include <compare>
#include <string_view>
#include <vector>

namespace burdockshelf
{

using request_count = quantity<struct request_unit>;

/// Requests of one time window: the good ones, and the bad ones by cause.
struct burn_window
{
    request_count good;
    request_count latency;
    request_count refusal;
    request_count failure;

    request_count bad() const;
    request_count total() const;
    burn_window &operator+=(const burn_window &other);

    friend bool operator==(const burn_window &, const burn_window &) = default;
};

/// What a row is about.
struct burn_subject
{
    workspace_id workspace;
    urgency_class_id urgency;

    friend auto operator<=>(const burn_subject &, const burn_subject &) = default;
};

/// How a workspace was served in an urgency class. The objective is the share of requests that should be good.
struct burn_row
{
    burn_subject subject;
    double objective = 0;
    burn_window shortWindow;
    burn_window longWindow;

    friend bool operator==(const burn_row &, const burn_row &) = default;
};

/// Share of bad requests in relation to the share that the objective allows; 1 uses up the budget exactly by the end of its period. 0
/// without requests.
double burnRate(const burn_window &window, double objective);

/// Share of the long window's error budget that is left; negative when more than all was used.
double budgetLeft(const burn_row &row);

/// Reads what an instance answers on /burn.
outcome<std::vector<burn_row>> decodeBurnRows(std::string_view text);

} // namespace burdockshelf
