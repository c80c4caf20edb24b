#include "burdockshelfctl/tool.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    std::optional<std::string> platform;
    if (const char *value = std::getenv("BURDOCKSHELF_PLATFORM")) {
        platform = value;
    }
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(burdockshelf::runTool({words, platform, std::cin, std::cout, std::cerr}));
}
