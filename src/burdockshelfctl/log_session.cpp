#include "burdockshelfctl/log_session.h"

#include "burdockshelfctl/blocking_http.h"
#include "wire/platform_codec.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr int okStatus = 200;
constexpr int firstClientError = 400;
constexpr int firstServerError = 500;
constexpr int readLimit = 1000;
/// Claims do not matter to the tool; they are forgotten as early as possible.
constexpr record_time claimWindow {1};

http_request readRequest(log_offset from)
{
    const std::string target = "/log/read?from=" + std::to_string(from.value()) + "&wait_ms=0&limit=" + std::to_string(readLimit);
    return {"GET", target, {}, ""};
}

/// A malformed record counts as an unknown one, as it does for the instances.
stored_record decodeLogged(const logged_record &read)
{
    auto decoded = decodeRecord(read.content.kind, read.content.body);
    if (decoded.has_error()) {
        return {read.offset, read.id, unknown_record {read.content.kind, read.content.body}};
    }
    return {read.offset, read.id, std::move(decoded.value())};
}

bool isRefusal(int status)
{
    return status >= firstClientError && status < firstServerError;
}

} // namespace

log_session::log_session(event_loop &loop, random_source &random, socket_address platform, log_session_limits limits)
    : m_loop(loop)
    , m_random(random)
    , m_platform(std::move(platform))
    , m_limits(limits)
    , m_replay(claimWindow)
    , m_idPrefix("ctl-")
{
}

outcome<void> log_session::catchUp()
{
    do {
        BOOST_OUTCOME_TRYV(readBatch());
    } while (m_next < m_head);
    if (m_replay.hasGap()) {
        return failure(error_code::unavailable, "the platform's log has lost its beginning and holds no snapshot that makes up for it");
    }
    return success();
}

append_report log_session::append(const log_record &record)
{
    const record_id id(m_idPrefix + m_random.hexId());
    const deadline until = deadline::after(boot_clock::now(), m_limits.append);
    bool isWithoutEffect = true;
    append_report report;
    while (true) {
        const append_try attempt = tryAppend(id, record);
        isWithoutEffect = isWithoutEffect && attempt.isWithoutEffect;
        if (!isWithoutEffect) {
            report = findFate(id);
        }
        if (report.fate != append_fate::unknown) {
            return report;
        }
        if (attempt.result.has_error()) {
            report.cause = attempt.result.error();
        }
        if (attempt.isFinal || until.hasPassed(boot_clock::now())) {
            break;
        }
        const double jitter = 0.5 + m_random.uniform();
        pauseFor(m_loop, std::chrono::duration_cast<boot_clock::duration>(m_limits.pause * jitter));
    }
    report.fate = isWithoutEffect ? append_fate::not_appended : append_fate::unknown;
    return report;
}

state_view_ptr log_session::view() const
{
    return m_replay.view();
}

log_session::append_try log_session::tryAppend(const record_id &id, const log_record &record)
{
    const http_request request = {
        "POST", "/log/append", {{"Content-Type", "application/json"}}, encodeLogAppend({id, encodeRecord(record)})};
    const http_call_result result = callAndWait(m_loop, m_platform, request, m_limits.call);
    if (result.has_error()) {
        return {failure(result.error().cause.code, result.error().cause.message), result.error().isNotSent, false};
    }
    const int status = result.value().status;
    if (status == okStatus) {
        return {success(), false, false};
    }
    const std::string text = m_platform.toString() + " answered the append with status " + std::to_string(status);
    return {failure(error_code::unavailable, text), isRefusal(status), isRefusal(status)};
}

append_report log_session::findFate(const record_id &id)
{
    append_report report;
    const auto read = catchUp();
    if (read.has_error()) {
        report.cause = read.error();
    }
    const auto [first, last] = m_verdicts.equal_range(id);
    for (auto found = first; found != last; ++found) {
        const record_verdict &verdict = found->second;
        if (verdict.isAccepted()) {
            return {append_fate::in_force, verdict.offset, record_rejection::no_effect, {}};
        }
        if (report.fate == append_fate::unknown) {
            report = {append_fate::rejected, verdict.offset, *verdict.rejection, {}};
        }
    }
    return report;
}

outcome<void> log_session::readBatch()
{
    const http_call_result result = callAndWait(m_loop, m_platform, readRequest(m_next), m_limits.call);
    if (result.has_error()) {
        return failure(result.error().cause.code, result.error().cause.message);
    }
    if (result.value().status != okStatus) {
        return failure(error_code::unavailable,
                       m_platform.toString() + " answered the read with status " + std::to_string(result.value().status));
    }
    BOOST_OUTCOME_TRY(page, decodeLogPage(result.value().body));
    const log_offset before = m_next;
    for (const logged_record &read : page.records) {
        keepVerdicts(m_replay.apply({decodeLogged(read)}).verdicts);
        m_next = std::max(m_next, read.offset + log_offset(1));
    }
    m_head = page.head;
    if (m_next == before && m_next < m_head) {
        return failure(error_code::unavailable, m_platform.toString() + " holds back records that it says it has");
    }
    return success();
}

void log_session::keepVerdicts(const std::vector<record_verdict> &verdicts)
{
    for (const record_verdict &verdict : verdicts) {
        if (verdict.id.value().starts_with(m_idPrefix)) {
            m_verdicts.emplace(verdict.id, verdict);
        }
    }
}

} // namespace burdockshelf
