#pragma once

#include "core/outcome.h"
#include "core/socket_address.h"

#include <chrono>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace burdockshelf
{

/// A process that the bench has started. It is killed when the object ends, so that nothing is left behind. Standard error goes to a file.
class child_process
{
public:
    child_process() = default;
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Starts a program of this build by its name. Standard output goes to a file if one is named, and to readLine() otherwise.
    static outcome<child_process> start(const std::string &program,
                                        const std::vector<std::string> &arguments,
                                        const std::string &errorFile,
                                        const std::string &outputFile = {});

    /// Reads lines of standard output until one starts with the word, and returns the rest of it.
    outcome<std::string> readLine(std::string_view word, std::chrono::milliseconds limit);
    outcome<socket_address> readAddress(std::string_view word, std::chrono::milliseconds limit);
    /// Reads standard output to its end and waits for the process; the exit status goes to status.
    outcome<std::string> readAll(std::chrono::milliseconds limit, int &status);

    void signal(int number) const;
    /// SIGKILL, and waits.
    void kill();
    /// Waits for the process to end by itself; its exit status, or none when the time is over.
    outcome<int> wait(std::chrono::milliseconds limit);
    bool isRunning() const;
    /// The process has ended and was not waited for yet.
    bool hasEnded() const;
    pid_t pid() const;

private:
    outcome<void> fill(std::chrono::steady_clock::time_point until);

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    bool m_isAtEnd = false;
};

/// The folder with the programs of this build, from BURDOCKSHELF_BIN_DIR or beside the running program.
std::string programFolder();

} // namespace burdockshelf
