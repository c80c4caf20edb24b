#pragma once

#include "core/outcome.h"
#include "forwarding/member_view.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Encodes a member report as JSON.
std::string encodeMemberReport(const member_report &report);
outcome<member_report> decodeMemberReport(std::string_view text);

} // namespace burdockshelf
