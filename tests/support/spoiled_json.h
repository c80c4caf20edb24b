#pragma once

#include "support/peak_memory.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

/// A text that costs many times its size as a parsed JSON document.
struct spoiled_json
{
    const char *shape;
    std::string text;
};

/// Spoiled texts of about the given size: nested and flat, without an end, and as an additional member of a sound document, which is given
/// without its closing brace.
inline std::vector<spoiled_json> spoiledDocuments(std::size_t size, const std::string &soundStart)
{
    const auto filled = [size](const std::string &start, std::string_view piece, const std::string &end) {
        std::string text = start;
        text.reserve(size + end.size());
        while (text.size() < size) {
            text.append(piece);
        }
        return text + end;
    };
    const std::string member = soundStart + (soundStart.ends_with('{') ? "" : ",") + "\"more\":";
    return {
        {"nested arrays", filled("", "[", "")},
        {"nested objects", filled("", "{\"a\":", "")},
        {"nested arrays in a member", filled(member, "[", "")},
        {"zeros", filled("[0", ",0", "]")},
        {"zeros in a member", filled(member + "[0", ",0", "]}")},
        {"empty arrays in a member", filled(member + "[0", ",[]", "]}")},
        {"empty strings in a member", filled(member + "[0", ",\"\"", "]}")},
        {"small objects in a member", filled(member + "[0", ",{\"a\":0}", "]}")},
        {"one string in a member", filled(member + "\"", "x", "\"}")},
    };
}

/// Memory that a document may take: a tenth of the smallest machine (88 MB).
constexpr std::int64_t maxDocumentMemoryKb = 88 * 1024 / 10;

/// Checks that the function, which decodes a document, takes little memory for spoiled ones of any size.
inline void checkSpoiledDocumentsAreCheap(const std::string &soundStart,
                                          const std::function<void(const std::string &)> &decode,
                                          std::int64_t maxMemoryKb = maxDocumentMemoryKb)
{
    for (const std::size_t documentBytes : {100'000, 500'000, 1'000'000, 3'000'000}) {
        for (const spoiled_json &spoiled : spoiledDocuments(documentBytes, soundStart)) {
            const peak_memory memory;
            decode(spoiled.text);
            const std::int64_t growth = memory.growthKb();
            const std::string seen = std::to_string(documentBytes) + " bytes, " + spoiled.shape + ": " + std::to_string(growth) + " KB";
            CHECK_TEXT(growth < maxMemoryKb, seen.c_str());
        }
    }
}
