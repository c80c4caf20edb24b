#include "process_watch.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace burdockshelf
{

process_watch::process_watch(pid_t process)
    : m_process(process)
{
}

std::int64_t process_watch::peakResidentKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::int64_t peak = 0;
            status >> peak;
            return peak;
        }
    }
    return 0;
}

std::size_t process_watch::openDescriptors() const
{
    std::error_code ignored;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(m_process) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

} // namespace burdockshelf
