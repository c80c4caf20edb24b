#pragma once

#include "burdockshelfctl/burn_report.h"

#include <string>

namespace burdockshelf
{

/// The report as an HTML page with inline SVG plots of the burn rates and the budgets left. Needs neither scripts nor a network.
std::string burnPage(const burn_report &report);

} // namespace burdockshelf
