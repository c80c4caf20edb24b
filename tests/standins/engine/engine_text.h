#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// The deterministic output of the stand-in. The next word follows from the whole text before it, so that a continuation behind generated
/// text goes on exactly where the first engine has stopped.
class engine_text
{
public:
    explicit engine_text(std::string_view prompt)
    {
        append(prompt);
    }

    std::string next()
    {
        constexpr std::string_view consonants = "bdfgklmnprstvz";
        constexpr std::string_view vowels = "aeiou";
        std::string word = " ";
        for (std::uint64_t bits = m_state, i = 0; i < 3; ++i, bits /= 70) {
            word += consonants[bits % consonants.size()];
            word += vowels[bits / consonants.size() % vowels.size()];
        }
        append(word);
        return word;
    }

private:
    // FNV-1a with a final mix on use of the low bits: it can be continued byte by byte.
    void append(std::string_view text)
    {
        for (const char byte : text) {
            m_state = (m_state ^ static_cast<unsigned char>(byte)) * 1099511628211U;
        }
    }

    std::uint64_t m_state = 14695981039346656037U;
};

} // namespace burdockshelf
