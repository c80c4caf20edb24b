#include "site/child_process.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace burdockshelf
{

namespace
{

constexpr auto waitStep = std::chrono::milliseconds(5);

int statusFrom(int raw)
{
    return WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
}

} // namespace

std::string programFolder()
{
    const char *folder = std::getenv("BURDOCKSHELF_BIN_DIR");
    if (folder != nullptr) {
        return folder;
    }
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

child_process::~child_process()
{
    kill();
    if (m_output >= 0) {
        ::close(m_output);
    }
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_isAtEnd(other.m_isAtEnd)
{
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    if (this != &other) {
        kill();
        if (m_output >= 0) {
            ::close(m_output);
        }
        m_pid = std::exchange(other.m_pid, -1);
        m_output = std::exchange(other.m_output, -1);
        m_buffer = std::move(other.m_buffer);
        m_isAtEnd = other.m_isAtEnd;
    }
    return *this;
}

outcome<child_process> child_process::start(const std::string &program,
                                            const std::vector<std::string> &arguments,
                                            const std::string &errorFile,
                                            const std::string &outputFile)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        return failure(error_code::unavailable, std::string("no pipe: ") + std::strerror(errno));
    }
    const std::string path = programFolder() + "/" + program;
    std::vector<char *> words;
    words.push_back(const_cast<char *>(path.c_str()));
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (outputFile.empty()) {
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    child_process child;
    const int result = posix_spawn(&child.m_pid, path.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    child.m_output = ends[0];
    if (result != 0) {
        child.m_pid = -1;
        return failure(error_code::unavailable, path + ": " + std::strerror(result));
    }
    return child;
}

outcome<std::string> child_process::readLine(std::string_view word, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto newline = m_buffer.find('\n');
        if (newline == std::string::npos) {
            BOOST_OUTCOME_TRYV(fill(until));
            continue;
        }
        const std::string line = m_buffer.substr(0, newline);
        m_buffer.erase(0, newline + 1);
        if (line.starts_with(word) && line.size() > word.size()) {
            return line.substr(word.size() + 1);
        }
    }
}

outcome<socket_address> child_process::readAddress(std::string_view word, std::chrono::milliseconds limit)
{
    BOOST_OUTCOME_TRY(text, readLine(word, limit));
    return socket_address::parse(text);
}

outcome<std::string> child_process::readAll(std::chrono::milliseconds limit, int &status)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!m_isAtEnd) {
        const auto filled = fill(until);
        if (!filled && !m_isAtEnd) {
            return filled.error();
        }
    }
    BOOST_OUTCOME_TRY(ended, wait(limit));
    status = ended;
    return std::move(m_buffer);
}

void child_process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void child_process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

outcome<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (m_pid > 0) {
        int raw = 0;
        if (waitpid(m_pid, &raw, WNOHANG) == m_pid) {
            m_pid = -1;
            return statusFrom(raw);
        }
        if (std::chrono::steady_clock::now() >= until) {
            return failure(error_code::deadline_exceeded, "the process has not ended in time");
        }
        poll(nullptr, 0, static_cast<int>(waitStep.count()));
    }
    return failure(error_code::not_found, "the process has ended already");
}

bool child_process::isRunning() const
{
    return m_pid > 0;
}

bool child_process::hasEnded() const
{
    siginfo_t info = {};
    return m_pid > 0 && ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == m_pid;
}

pid_t child_process::pid() const
{
    return m_pid;
}

outcome<void> child_process::fill(std::chrono::steady_clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd wanted = {m_output, POLLIN, 0};
    const int ready = poll(&wanted, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    if (ready <= 0) {
        return failure(error_code::deadline_exceeded, "the process has not written what was expected in time");
    }
    char bytes[4096];
    const ssize_t count = ::read(m_output, bytes, sizeof bytes);
    if (count <= 0) {
        m_isAtEnd = true;
        return failure(error_code::connection_lost, "the process has closed its output");
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return success();
}

} // namespace burdockshelf
