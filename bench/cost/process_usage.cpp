#include "cost/process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace burdockshelf
{

namespace
{

constexpr std::int64_t kibibyte = 1024;

// The number behind "name:" in a file of such lines.
std::int64_t numberOf(const std::string &file, const std::string &name)
{
    std::ifstream stream(file);
    std::string word;
    while (stream >> word) {
        if (word == name + ":") {
            std::int64_t value = 0;
            stream >> value;
            return value;
        }
    }
    return 0;
}

} // namespace

outcome<process_usage> readUsage(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    std::error_code problem;
    process_usage usage;
    for (const auto &thread : std::filesystem::directory_iterator(folder + "/task", problem)) {
        std::ifstream stream(thread.path() / "schedstat");
        std::int64_t nanoseconds = 0;
        stream >> nanoseconds;
        usage.processor += std::chrono::nanoseconds(nanoseconds);
    }
    if (problem) {
        return failure(error_code::not_found, folder + ": " + problem.message());
    }
    usage.resident = byte_count(numberOf(folder + "/status", "VmRSS") * kibibyte);
    usage.moved = byte_count(numberOf(folder + "/io", "rchar") + numberOf(folder + "/io", "wchar"));
    return usage;
}

} // namespace burdockshelf
