#pragma once

#include <string>
#include <vector>

namespace burdockshelf
{

/// One fault in a file: where it is, what was found and what is allowed.
struct finding
{
    /// JSON pointer into the document.
    std::string pointer;
    std::string found;
    std::string allowed;

    /// The line for a person: file, pointer, what was found and what is allowed.
    std::string line(const std::string &fileName) const;

    friend bool operator==(const finding &, const finding &) = default;
};

/// All findings, one line each.
std::string joinFindings(const std::vector<finding> &findings, const std::string &fileName);

} // namespace burdockshelf
