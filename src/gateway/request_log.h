#pragma once

#include "forwarding/admission.h"
#include "forwarding/quota_broker.h"
#include "gateway/gateway_messages.h"
#include "logging/log_writer_task.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// How a request has ended, for its last line.
struct request_end
{
    std::string_view outcome;
    int status = 0;
    endpoint_id answeredBy;
    /// From the arrival to the first byte for the caller; zero when none was sent.
    boot_clock::duration firstByteAfter {};
    /// The longest pause between two pieces of a stream.
    boot_clock::duration longestPause {};
    boot_clock::duration took {};
    /// The last attempt that failed, in words; empty when none did.
    std::string lastFailure;
    attempt_kind lastFailedDuty = attempt_kind::plain_call;
    endpoint_id lastFailedEndpoint;
};

std::string_view requestKindName(request_kind kind);

/// The lines about single requests. Bounds them: within each report period only so many lines for what went well and for what failed are
/// written, and the others are counted.
class request_log
{
public:
    explicit request_log(event_log to);

    void writeRefused(const forward_facts &facts, const admission_decision &decision, int status, plan_version plan);
    /// A request that was never begun.
    void writeDropped(const forward_facts &facts, std::string_view cause);
    void
    writeOverQuota(const forward_facts &facts, const admission_decision &decision, const quota_refused &refused, std::int64_t instances);
    void writeSent(const admitted_request &request, const start_attempt &sent, const endpoint_state *endpoint, instant now);
    void writeFailed(const admitted_request &request, const start_attempt &sent, const attempt_ended &ended, token_count ownTokens);
    void writeFailedReservations(const admitted_request &request, const report_failed_reservations &round, instant now);
    void writeCancelled(const admitted_request &request, attempt_number number, const endpoint_id &endpoint, bool isCallerDisconnected);
    void writeDone(const admitted_request &request, std::int64_t attempts, const request_end &end);
    /// Ends a report period: writes how many lines were left out in it.
    void beginPeriod();

private:
    bool mayWrite(bool isGood);

    event_log m_to;
    std::int64_t m_goodLines = 0;
    std::int64_t m_failureLines = 0;
    std::int64_t m_leftOut = 0;
};

} // namespace burdockshelf
