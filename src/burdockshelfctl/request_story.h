#pragma once

#include "burdockshelfctl/logged_line.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace burdockshelf
{

/// A line of a log that could not be read.
struct damaged_line
{
    std::string log;
    std::int64_t number = 0;
    std::string cause;
};

/// The last line by which an instance changed a belief, before it decided on the request.
struct held_belief
{
    logged_line changedBy;
    /// From that change to the decision, by the instance's own clock.
    std::chrono::milliseconds age {0};
};

/// One decision on the request with what its instance believed at that moment.
struct story_step
{
    logged_line decision;
    std::vector<held_belief> beliefs;
};

/// Everything that the logs of several instances say about one request.
class request_story
{
public:
    explicit request_story(std::string request);

    /// Reads one log to its end. The name stands for the instance where the lines do not name it.
    void addLog(std::istream &log, const std::string &name);

    bool isKnown() const;
    /// By time; the order of lines of one instance is kept.
    std::vector<story_step> steps() const;
    /// One sentence on why the request ended as it did, from its last decisive line.
    std::string conclusion() const;
    const std::vector<damaged_line> &damaged() const;
    std::int64_t linesRead() const;
    /// Lines that the instances left out or dropped, as far as they said so.
    std::int64_t linesMissing() const;
    const std::string &request() const;

private:
    void addLine(logged_line &&record);

    std::string m_request;
    std::vector<story_step> m_steps;
    /// By instance and subject of the belief.
    std::map<std::pair<std::string, std::string>, logged_line> m_beliefs;
    std::vector<damaged_line> m_damaged;
    std::int64_t m_linesRead = 0;
    std::int64_t m_linesMissing = 0;
};

std::string storyText(const request_story &story);
nlohmann::json storyJson(const request_story &story);

} // namespace burdockshelf
