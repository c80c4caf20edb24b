#include "endpoints/endpoints_supervisor.h"

#include <utility>
#include <vector>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

/// A decode engine runs about twenty requests, so a fully loaded endpoint stays far below this.
constexpr std::size_t endpointMailboxCapacity = 1000;

/// Returns the id of the attempt that a message starts, or null if it starts none.
struct started_attempt_id
{
    template<typename Message>
    const attempt_id *operator()(const Message &message) const
    {
        if constexpr (
            requires { message.until; } && requires { message.attempt; }) {
            return &message.attempt;
        } else {
            return nullptr;
        }
    }
};

} // namespace

endpoints_supervisor::endpoints_supervisor(event_loop &loop,
                                           std::shared_ptr<mailbox<endpoints_message>> box,
                                           endpoint_report_sinks reports,
                                           endpoint_task_settings settings)
    : supervisor(loop, "endpoints", std::make_unique<one_for_one>())
    , m_loop(loop)
    , m_box(std::move(box))
    , m_reports(std::move(reports))
    , m_settings(settings)
{
    m_box->attach([this](endpoints_message &&message) { std::visit([this](const auto &content) { receive(content); }, message); });
}

endpoints_supervisor::~endpoints_supervisor()
{
    m_box->detach();
}

void endpoints_supervisor::receive(const endpoint_envelope &post)
{
    const auto found = m_entries.find(post.to);
    const post_result result = found == m_entries.end() ? post_result::closed : found->second.box->post(post.message);
    if (result != post_result::delivered) {
        refuse(post.message, post.to, result);
    }
}

void endpoints_supervisor::receive(const endpoints_changed &change)
{
    const auto &wanted = change.view->config.endpoints;
    std::vector<endpoint_id> gone;
    for (const auto &[endpoint, running] : m_entries) {
        const auto found = wanted.find(endpoint);
        if (found == wanted.end() || found->second.address != running.server) {
            gone.push_back(endpoint);
        }
    }
    for (const endpoint_id &endpoint : gone) {
        remove(endpoint);
    }
    for (const auto &[endpoint, settings] : wanted) {
        if (!m_entries.contains(endpoint)) {
            add(endpoint, settings.address);
        }
    }
}

void endpoints_supervisor::add(const endpoint_id &endpoint, const socket_address &server)
{
    // The number distinguishes the new task from an earlier one of the same endpoint that is still completing its attempts.
    const std::string child = endpoint.value() + "#" + std::to_string(++m_lastChildNumber);
    const auto box = std::make_shared<mailbox<endpoint_task_message>>(m_loop, endpointMailboxCapacity);
    m_entries.emplace(endpoint, entry {child, server, box});
    addChild({child, [this, box, endpoint, server] {
                  return std::make_unique<endpoint_task>(m_loop, box, endpoint, server, m_reports, m_settings, random_source());
              }});
}

void endpoints_supervisor::remove(const endpoint_id &endpoint)
{
    const auto found = m_entries.find(endpoint);
    const std::string child = found->second.child;
    m_entries.erase(found);
    removeChild(child);
}

void endpoints_supervisor::refuse(const endpoint_task_message &message, const endpoint_id &endpoint, post_result reason)
{
    const error cause = reason == post_result::full ? error {error_code::overloaded, "the endpoint's mailbox is full"}
                                                    : error {error_code::unavailable, "the endpoint is not in the configuration"};
    if (const attempt_id *attempt = std::visit(started_attempt_id(), message)) {
        LOG_IF(ERROR, m_reports.attempts.post(attempt_failed {*attempt, cause, true}) != post_result::delivered)
            << "endpoints: " << endpoint << ": a failure could not be delivered.";
    } else if (const auto *order = std::get_if<endpoint_order>(&message)) {
        LOG_IF(ERROR, order->reply.post(cause) != post_result::delivered)
            << "endpoints: " << endpoint << ": a failure could not be delivered.";
    } else {
        VLOG(1) << "endpoints: " << endpoint << ": a message was dropped: " << cause << ".";
    }
}

} // namespace burdockshelf
