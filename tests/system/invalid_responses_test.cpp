// Endpoints that send invalid or broken responses to a gateway process. What a caller receives is either a whole response of an endpoint or
// a truthful failure; a response that is broken off after its start must not look complete.

#include "endless_site.h"
#include "support/response_samples.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr int statusOk = 200;
constexpr int firstFailureStatus = 500;
constexpr int lastFailureStatus = 599;
constexpr int statusGatewayTimeout = 504;
constexpr const char *idAndSeal = "X-Attempt-Id: {id}\r\nX-Server-Seal: seal\r\n";
// Callers may send 4 MiB. Far more than what the sockets to an endpoint that does not read hold.
constexpr std::size_t uploadBytes = 4 * 1024 * 1024;

/// A kind of request, by the route that a test calls.
struct request_kind
{
    const char *method;
    const char *target;
    bool isRepeatable = false;
};

constexpr std::array<request_kind, 4> requestKinds = {
    {{"GET", "/safe/x", true}, {"POST", "/unsafe/x"}, {"POST", "/events/x"}, {"POST", "/text/x"}}};

bool isComplete(const raw_caller &caller, int status)
{
    return caller.status() == status && caller.isComplete();
}

} // namespace

TEST_GROUP(invalid_responses)
{
    endless_site site;
    std::vector<response_sample> samples;
    std::vector<faulty_response> faults;
    /// What the test has found, a line each.
    std::string found;
    int lastUpload = 0;

    void prepare(std::vector<response_sample> chosen)
    {
        samples = std::move(chosen);
        for (const response_sample &each : samples) {
            faults.push_back({each.name.c_str(), responseBytes(each, idAndSeal), ""});
        }
        CHECK_TRUE(site.start());
    }

    static std::string idStart(std::size_t request)
    {
        return "r" + std::to_string(request) + "-";
    }

    // Sends one request for each fault, whose run gets that fault at every endpoint. The ids begin with numbers from the given one on,
    // which is a multiple of the number of faults. Returns the callers, in the order of the faults.
    std::vector<const raw_caller *> runEach(const request_kind &kind, std::size_t firstId)
    {
        site.setFaults(
            [&](const http_request &request) -> const faulty_response * {
                const std::string id(request.headers.value("X-Attempt-Id"));
                return isRun(request) && id.starts_with('r') ? &faults[std::stoul(id.substr(1)) % faults.size()] : nullptr;
            },
            nullptr);
        std::vector<const raw_caller *> callers;
        for (std::size_t i = 0; i < faults.size(); ++i) {
            callers.push_back(&site.send(kind.method, kind.target, idStart(firstId + i)));
        }
        CHECK_TRUE(site.waitFor([&] { return site.areAllAnswered(); }));
        return callers;
    }

    void expect(bool holds, const std::string &name, const std::string &otherwise)
    {
        if (!holds) {
            found += name + ": " + otherwise + "\n";
        }
    }

    // The caller got a failure that is true, and a request that may run once only has not run twice.
    void expectFailure(const request_kind &kind, const raw_caller &caller, const std::string &id, const std::string &name)
    {
        const std::string status = std::to_string(caller.status());
        expect(site.hasRunWithIdStart(id), name, "reached no endpoint, got " + status);
        expect(caller.status() >= firstFailureStatus || !caller.isComplete(), name, "complete with status " + status);
        expect(!statusPromisesNotRun(caller.status()) || site.runCount(id) == 0, name, "has run and got " + status);
        expect(kind.isRepeatable || site.runCount(id) <= 1, name, "ran twice");
        // The gateway has to tell it by the response, and not by the deadline of the request.
        expect(caller.status() != statusGatewayTimeout, name, "was not told until the deadline");
        // Such a status is an endpoint's.
        expect(caller.status() <= lastFailureStatus, name, "passed on with status " + status);
    }

    void checkFailures(std::vector<response_sample> chosen)
    {
        prepare(std::move(chosen));
        std::size_t firstId = 0;
        for (const request_kind &kind : requestKinds) {
            const std::vector<const raw_caller *> callers = runEach(kind, firstId);
            for (std::size_t i = 0; i < callers.size(); ++i) {
                expectFailure(kind, *callers[i], idStart(firstId + i), kind.target + (" " + samples[i].name));
            }
            firstId += callers.size();
            site.leave();
        }
        STRCMP_EQUAL("", found.c_str());
        site.setFaults(nullptr, nullptr);
        site.checkItStands();
    }

    // The calls whose responses are only read: an invalid one grants nothing, so its handle must not be used.
    void checkGrantsNothing(call_filter isFaulty)
    {
        prepare({});
        const std::string grant = R"({"hold":"invalid","kv_handle":"invalid","tokens":10,"version":1})";
        const faulty_response fault = {"grant",
                                       std::string("HTTP/1.1 200 OK\r\n") + idAndSeal
                                           + "X Trace: a\r\nContent-Length: " + std::to_string(grant.size()) + "\r\n\r\n" + grant,
                                       ""};
        bool isUsed = false;
        site.setFaults(
            [&](const http_request &request) -> const faulty_response * {
                const bool isHoldUsed = request.headers.value("X-Kv-Hold") == "invalid";
                isUsed = isUsed || isHoldUsed || request.headers.value("X-Kv-Source").ends_with("/invalid");
                return isFaulty(request) ? &fault : nullptr;
            },
            nullptr);
        constexpr std::size_t requests = 20;
        for (std::size_t i = 0; i < requests; ++i) {
            site.send("POST", "/text/x", idStart(i));
        }
        CHECK_TRUE(site.waitFor([&] { return site.areAllAnswered(); }));
        CHECK_FALSE(site.sentFaults().empty());
        CHECK_FALSE(isUsed);
    }

    // An endpoint answers an upload before it has read it, and then resets the connection.
    void resetUploads(std::size_t afterBytes, const std::string &framing, const std::string &body, std::chrono::milliseconds pause)
    {
        resetUploads(afterBytes, framing, body, pause, false);
        resetUploads(afterBytes, framing, body, pause, true);
    }

    void resetUploads(
        std::size_t afterBytes, const std::string &framing, const std::string &body, std::chrono::milliseconds pause, bool isChunked)
    {
        std::vector<std::unique_ptr<timer>> resets;
        site.setUploadHandler(afterBytes, [&](scripted_connection &from, const http_request &request) {
            from.write("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id"))
                       + "\r\n" + framing + "\r\n" + body);
            resets.push_back(std::make_unique<timer>(site.loop(), [&from] { from.reset(); }));
            resets.back()->start(deadline::after(boot_clock::now(), pause));
        });
        for (const request_kind &kind :
             std::array<request_kind, 4> {{{"POST", "/safe/x", true}, {"POST", "/unsafe/x"}, {"POST", "/events/x"}, {"POST", "/text/x"}}}) {
            const std::string id = "u" + std::to_string(++lastUpload) + "-";
            const raw_caller &caller = isChunked ? site.sendInChunks(kind.method, kind.target, id, uploadBytes / endless_site::chunkBytes)
                                                 : site.send(kind.method, kind.target, id, uploadBytes);
            CHECK_TRUE(site.waitFor([&] { return caller.isDone(); }));
            const std::string name = std::string(kind.target) + (isChunked ? " in chunks" : "") + " after " + std::to_string(afterBytes)
                + " bytes and " + std::to_string(pause.count()) + " ms, " + framing;
            expect(!isComplete(caller, statusOk), name, "looks complete: " + caller.body());
            expect(site.hasRunWithIdStart(id), name, "reached no endpoint, got " + std::to_string(caller.status()));
            expect(kind.isRepeatable || site.runCount(id) <= 1, name, "ran twice");
            expect(!statusPromisesNotRun(caller.status()), name, "has run and got " + std::to_string(caller.status()));
            site.leave();
        }
    }
};

// The report: an endpoint answered with a status of 000, and callers got it as an answer.
TEST(invalid_responses, withStatusesThatDoNotExist)
{
    checkFailures(invalidStatusLines());
}

// The report: an endpoint sent a field whose name held a blank or a control byte, and callers got the line, or another body.
TEST(invalid_responses, withFieldsThatAreNone)
{
    checkFailures(invalidFields());
}

TEST(invalid_responses, withTrailersThatAreNone)
{
    checkFailures(invalidTrailers());
}

// Of the same kind: lengths and codings that a receiver and the endpoint may understand differently.
TEST(invalid_responses, withInvalidFraming)
{
    checkFailures(invalidFraming());
}

// Nothing of an invalid response is believed: the request may have run, and must not be sent to a second endpoint.
TEST(invalid_responses, thatClaimNotToHaveRun)
{
    checkFailures(invalidRefusals());
}

TEST(invalid_responses, toReservations)
{
    checkGrantsNothing(&isReservation);
}

TEST(invalid_responses, toPrefills)
{
    checkGrantsNothing(&isPrefill);
}

// The report: an endpoint answered a long upload with a 200 without a length, sent a part of its body and reset the connection. Callers got
// the part as a complete answer.
TEST(invalid_responses, thatEndInAResetDuringAnUpload)
{
    prepare({});
    const std::string part = "id: 1\ndata: a\n\n";
    for (const std::size_t afterBytes : {std::size_t(0), uploadBytes / 2, uploadBytes}) {
        for (const auto pause : {0ms, 1ms, 30ms}) {
            resetUploads(afterBytes, "", part, pause);
            resetUploads(afterBytes, "Content-Length: 1000\r\n", part, pause);
            resetUploads(afterBytes, "Transfer-Encoding: chunked\r\n", "f\r\n" + part + "\r\n", pause);
        }
    }
    STRCMP_EQUAL("", found.c_str());
}

// Guards against a response whose end is told by what has reached the caller: this one reads nothing until the endpoint has ended its
// response, so that most of the body waits at the gateway.
TEST(invalid_responses, thatEndInAResetBeforeTheCallerReads)
{
    prepare({});
    constexpr std::size_t shortUploadBytes = 64 * 1024;
    constexpr std::size_t events = 30'000;
    const std::string body = repeatedText(sampleBody, events);
    for (const bool isReset : {false, true}) {
        scripted_connection *sender = nullptr;
        site.setUploadHandler(shortUploadBytes, [&](scripted_connection &from, const http_request &request) {
            from.write("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id"))
                       + "\r\n\r\n" + body);
            sender = &from;
        });
        raw_caller &caller = site.send("POST", "/text/x", "u", shortUploadBytes);
        caller.setReading(false);
        CHECK_TRUE(site.waitFor([&] { return sender != nullptr && sender->sentBytes() > body.size(); }));
        isReset ? sender->reset() : sender->finishWriting();
        caller.setReading(true);
        CHECK_TRUE(site.waitFor([&] { return caller.isDone(); }));
        CHECK_EQUAL(!isReset, isComplete(caller, statusOk));
        CHECK(body.starts_with(caller.body()));
        CHECK(isReset || caller.body().size() == body.size());
        site.leave();
    }
}

// Responses that ordinary servers may send must pass as they are.
TEST(invalid_responses, areToldFromUnusualOnes)
{
    prepare(soundResponses());
    for (const request_kind &kind : requestKinds) {
        for (std::size_t i = 0; i < samples.size(); ++i) {
            // A stream has to have an event, and its end must be visible.
            const bool isForStreams = samples[i].status == statusOk && !samples[i].body.empty();
            const bool isStream = kind.target == std::string("/text/x") || kind.target == std::string("/events/x");
            if (samples[i].endsAtClose || (!isForStreams && isStream)) {
                continue;
            }
            const faulty_response &fault = faults[i];
            site.setFaults([&](const http_request &request) { return isRun(request) ? &fault : nullptr; }, nullptr);
            const raw_caller &caller = site.send(kind.method, kind.target, idStart(i));
            CHECK_TRUE(site.waitFor([&] { return caller.isDone(); }));
            const std::string name = std::string(kind.target) + " " + samples[i].name;
            expect(isComplete(caller, samples[i].status), name, "got " + std::to_string(caller.status()));
            expect(caller.body() == samples[i].body, name, "got the body " + caller.body());
            site.leave();
        }
    }
    STRCMP_EQUAL("", found.c_str());
}
