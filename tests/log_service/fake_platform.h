#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"
#include "wire/platform_codec.h"

#include <functional>
#include <vector>

/// The platform's HTTP interface on the test's own loop. Reads at the head of the log are held until something is appended. The guard ends
/// a test that would hang.
struct fake_platform
{
    burdockshelf::event_loop loop;
    burdockshelf::socket_address address;
    std::vector<burdockshelf::logged_record> records;
    std::vector<std::shared_ptr<burdockshelf::http_exchange>> heldReads;
    std::vector<std::string> readTargets;
    std::vector<burdockshelf::listed_instance> registered;
    std::vector<burdockshelf::listed_instance> listed;
    int outageAnswers = 0;
    int appendStatus = 200;
    bool losesAppendReplies = false;
    bool isTimedOut = false;

    fake_platform();

    void append(const std::string &kind, const std::string &body);
    /// Runs the loop until the condition holds; false when the guard ended the test.
    bool runUntil(const std::function<bool()> &condition);

private:
    void answer(const std::shared_ptr<burdockshelf::http_exchange> &exchange);
    void answerRead(const std::shared_ptr<burdockshelf::http_exchange> &exchange);
    void answerAppend(const std::shared_ptr<burdockshelf::http_exchange> &exchange);

    burdockshelf::http_server m_server;
    burdockshelf::timer m_guard;
};
