#pragma once

#include "forwarding/admission.h"
#include "forwarding/quota_broker.h"
#include "gateway/gateway_messages.h"
#include "logging/log_writer_task.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Summary of a finished request, for its final log line.
struct request_summary
{
    std::string_view outcome;
    int status = 0;
    endpoint_id respondingEndpoint;
    /// Time from the arrival of the request to the first byte of the response; zero if none was sent.
    boot_clock::duration timeToFirstByte {};
    /// The longest gap between two pieces of data of a streamed response.
    boot_clock::duration longestPause {};
    boot_clock::duration took {};
    /// Describes the last failed attempt; empty if none failed.
    std::string lastFailure;
    attempt_kind lastFailedKind = attempt_kind::plain_call;
    endpoint_id lastFailedEndpoint;
};

std::string_view requestKindName(request_kind kind);

/// Writes the log lines about single requests. Limits the number of lines per report period, separately for successes and failures, and
/// counts the lines that it omits.
class request_log
{
public:
    explicit request_log(event_log to);

    void writeRefused(const forward_facts &facts, const admission_decision &decision, int status, plan_version plan);
    /// A request that was admitted while the instance shuts down.
    void writeAdmittedInShutdown(const admission_decision &decision, deadline finishBy, instant now);
    /// A request that was dropped before its flow began.
    void writeDropped(const forward_facts &facts, std::string_view cause);
    void
    writeOverQuota(const forward_facts &facts, const admission_decision &decision, const quota_refused &refused, std::int64_t instances);
    /// A stream that a caller resumes, and how its origin is known.
    void writeResumed(const forward_facts &facts, const stream_origin &origin, std::string_view source);
    void writeSent(const admitted_request &request, const start_attempt &sent, const endpoint_state *endpoint, instant now);
    void writeFailed(const admitted_request &request, const start_attempt &sent, const attempt_ended &ended, token_count ownTokens);
    void writeFailedReservations(const admitted_request &request, const report_failed_reservations &round, instant now);
    void writeCancelled(const admitted_request &request,
                        const cancel_flow_attempt &cancelled,
                        const endpoint_id &endpoint,
                        bool isCallerDisconnected);
    void writeDone(const admitted_request &request, std::int64_t attempts, const request_summary &end);
    /// Starts a new report period. Logs how many lines were omitted in the previous one.
    void beginPeriod();

private:
    bool mayWrite(bool isSuccess);

    event_log m_to;
    std::int64_t m_successLines = 0;
    std::int64_t m_failureLines = 0;
    std::int64_t m_omittedLines = 0;
};

} // namespace burdockshelf
