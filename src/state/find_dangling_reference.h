#pragma once

#include "state/configuration.h"

#include <optional>
#include <string>

namespace burdockshelf
{

/// A configuration entry that refers to an entry that does not exist. Sections and fields are named as in the configuration document.
struct dangling_reference
{
    std::string section;
    std::string entry;
    std::string field;
    std::string target;
    /// Section that lacks the target.
    std::string targetSection;

    friend bool operator==(const dangling_reference &, const dangling_reference &) = default;
};

/// Returns the first dangling reference, if any.
std::optional<dangling_reference> findDanglingReference(const configuration &config);

} // namespace burdockshelf
