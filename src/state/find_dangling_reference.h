#pragma once

#include "state/configuration.h"

#include <optional>
#include <string>

namespace burdockshelf
{

/// An entry of the configuration that names another entry which is not there. The names are those of the document.
struct dangling_reference
{
    std::string section;
    std::string entry;
    std::string field;
    std::string target;
    /// Section in which the target should be.
    std::string targetSection;

    friend bool operator==(const dangling_reference &, const dangling_reference &) = default;
};

/// The first reference that leads nowhere, if any.
std::optional<dangling_reference> findDanglingReference(const configuration &config);

} // namespace burdockshelf
