#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"
#include "wire/platform_codec.h"

#include <functional>
#include <vector>

/// Serves the platform's HTTP interface on the test's event loop. Reads at the head of the log are held until a record is appended. A
/// timeout ends tests that would hang.
struct fake_platform
{
    burdockshelf::event_loop loop;
    burdockshelf::socket_address address;
    std::vector<burdockshelf::logged_record> records;
    std::vector<std::shared_ptr<burdockshelf::http_exchange>> heldReads;
    std::vector<std::string> readTargets;
    std::vector<burdockshelf::listed_instance> registered;
    std::vector<burdockshelf::listed_instance> listed;
    int pendingReadFailures = 0;
    int appendStatus = 200;
    bool dropsAppendReplies = false;
    bool isTimedOut = false;

    fake_platform();

    void append(const std::string &kind, const std::string &body);
    /// Runs the loop until the condition holds; returns false on timeout.
    bool runUntil(const std::function<bool()> &condition);

private:
    void handleRequest(const std::shared_ptr<burdockshelf::http_exchange> &exchange);
    void handleRead(const std::shared_ptr<burdockshelf::http_exchange> &exchange);
    void handleAppend(const std::shared_ptr<burdockshelf::http_exchange> &exchange);

    burdockshelf::http_server m_server;
    burdockshelf::timer m_timeoutTimer;
};
