#pragma once

#include "core/error.h"

namespace burdockshelf
{

/// What the tool's caller learns from its exit status. The numbers are those of sysexits.h where one fits.
enum class exit_status : int
{
    done = 0,
    usage = 64,
    /// A file cannot be read, or holds nothing of what was asked for.
    no_input = 66,
    platform_unavailable = 69,
    /// Another operator's change came first.
    lost_race = 73,
    /// Not known whether the change is in force, or not yet in force everywhere.
    try_again = 75,
    bad_configuration = 78,
};

/// The exit status for an error that ends a command.
exit_status exitStatusOf(error_code code);

} // namespace burdockshelf
