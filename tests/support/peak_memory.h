#pragma once

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

#include <malloc.h>

/// Measures by how much the resident memory of this program rises above the level at its construction. Memory that was freed before goes
/// back to the system first, so that it does not hide new allocations.
class peak_memory
{
public:
    peak_memory()
    {
        malloc_trim(0);
        // Sets the peak to the present value.
        std::ofstream("/proc/self/clear_refs") << "5";
        m_before = statusKb("VmRSS:");
    }

    std::int64_t growthKb() const
    {
        return statusKb("VmHWM:") - m_before;
    }

private:
    static std::int64_t statusKb(const std::string &name)
    {
        std::ifstream status("/proc/self/status");
        std::int64_t value = 0;
        for (std::string word; status >> word;) {
            if (word == name) {
                status >> value;
                break;
            }
        }
        return value;
    }

    std::int64_t m_before = 0;
};
