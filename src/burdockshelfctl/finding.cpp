#include "burdockshelfctl/finding.h"

namespace burdockshelf
{

std::string finding::line(const std::string &fileName) const
{
    return fileName + ": " + (pointer.empty() ? "/" : pointer) + ": found " + found + ", allowed: " + allowed;
}

std::string joinFindings(const std::vector<finding> &findings, const std::string &fileName)
{
    std::string text;
    for (const finding &fault : findings) {
        text += (text.empty() ? "" : "\n") + fault.line(fileName);
    }
    return text;
}

} // namespace burdockshelf
