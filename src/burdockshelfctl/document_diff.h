#pragma once

#include "core/outcome.h"
#include "state/configuration.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// An entry of the configuration document that differs between two documents. Null stands for an entry that is not there.
struct entry_change
{
    std::string section;
    std::string entry;
    nlohmann::json before;
    nlohmann::json after;
};

/// The entries that differ, by section and name. The documents' versions are not compared.
std::vector<entry_change> diffDocuments(const configuration &from, const configuration &to);

/// A line for each added (+), removed (-) or changed (~) entry, with the fields that changed.
std::string diffText(const std::vector<entry_change> &changes);
nlohmann::json diffJson(const std::vector<entry_change> &changes);

} // namespace burdockshelf
