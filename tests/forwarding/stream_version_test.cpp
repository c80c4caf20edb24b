#include "forwarding/plan_fixture.h"

#include <map>
#include <set>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto longSilence = 1200ms;

/// The version of each decode endpoint, by its id.
using decode_versions = std::map<std::string, std::string>;

/// A resumable stream at engines of several versions. Records the versions whose events its caller has got.
struct versioned_stream
{
    plan_fixture fixture;
    std::optional<forward_flow> flow;
    std::map<attempt_number, start_attempt> open;
    /// The version of the process that each attempt was sent to.
    std::map<attempt_number, std::string> versionOf;
    decode_versions versionAt;
    std::set<std::string> relayedVersions;
    int lastEvent = 0;
    bool isBrokenOff = false;
    std::optional<refuse_request> refused;

    explicit versioned_stream(const decode_versions &decodeVersions)
    {
        for (const char *name : {"d1", "d2", "d3"}) {
            fixture.endpoints.remove(endpoint_id(name));
        }
        for (const auto &[name, version] : decodeVersions) {
            put(name, version);
        }
    }

    void put(const std::string &name, const std::string &version)
    {
        fixture.put(name, "engine", engine_stage::decode, version);
        versionAt[name] = version;
    }

    void begin(std::optional<stream_origin> origin = std::nullopt)
    {
        admitted_request request = fixture.flow("resumed").request();
        request.origin = std::move(origin);
        if (request.origin) {
            request.facts.resumeAfter = lastEvent = 1;
        }
        flow.emplace(std::move(request));
        take(flow->begin(fixture.context(), fixture.now));
    }

    void take(const flow_actions &actions)
    {
        for (const flow_action &action : actions) {
            if (const auto *sent = std::get_if<start_attempt>(&action)) {
                open[sent->number] = *sent;
                versionOf[sent->number] = versionAt[sent->endpoint.value()];
            } else if (const auto *cancelled = std::get_if<cancel_flow_attempt>(&action)) {
                open.erase(cancelled->number);
            } else if (const auto *refusal = std::get_if<refuse_request>(&action)) {
                refused = *refusal;
            }
            isBrokenOff = isBrokenOff || std::holds_alternative<abort_response>(action);
        }
    }

    /// The attempt of a kind that is in progress, or nullptr.
    const start_attempt *find(attempt_kind attemptKind) const
    {
        for (const auto &[number, attempt] : open) {
            if (attempt.attemptKind == attemptKind) {
                return &attempt;
            }
        }
        return nullptr;
    }

    void end(attempt_kind attemptKind, attempt_outcome outcome)
    {
        const start_attempt *found = find(attemptKind);
        if (found == nullptr) {
            return;
        }
        const attempt_number number = found->number;
        open.erase(number);
        const bool hasHandle = attemptKind != attempt_kind::decode && outcome == attempt_outcome::whole;
        const response_summary response = {outcome == attempt_outcome::whole ? 200 : 0, true};
        take(flow->onEnd(
            number, outcome, response, hasHandle ? std::optional<std::string>("handle") : std::nullopt, fixture.context(), fixture.now));
    }

    /// The decode endpoint sends one event.
    void speak()
    {
        const start_attempt *decode = find(attempt_kind::decode);
        if (decode == nullptr) {
            return;
        }
        const attempt_number number = decode->number;
        take(flow->onHead(number, fixture.context(), fixture.now));
        const std::string event = "id: " + std::to_string(++lastEvent) + "\ndata: a\n\n";
        const flow_actions actions = flow->onBodyData(number, event, fixture.context(), fixture.now);
        if (findAction<relay_body_data>(actions) != nullptr) {
            relayedVersions.insert(versionOf[number]);
        }
        take(actions);
    }

    void pass(std::chrono::milliseconds time)
    {
        fixture.now += time;
        take(flow->onDeadline(fixture.context(), fixture.now));
    }

    /// Grants reservations and prefills until the decode has been sent. False when the request ends before.
    bool reachDecode()
    {
        for (int step = 0; step < 20 && find(attempt_kind::decode) == nullptr; ++step) {
            end(attempt_kind::reserve, attempt_outcome::whole);
            end(attempt_kind::prefill, attempt_outcome::whole);
        }
        return find(attempt_kind::decode) != nullptr;
    }
};

} // namespace

TEST_GROUP(stream_version) {};

// Guards against a stream that breaks off and goes on at an endpoint of another version, with nothing in the answer to show it.
TEST(stream_version, goesOnOnlyAtTheVersionThatBeganIt)
{
    for (const std::string next : {"d2", "d3", "d4"}) {
        versioned_stream stream(decode_versions {{"d1", "v1"}});
        stream.begin();
        CHECK_TRUE(stream.reachDecode());
        stream.speak();
        for (const std::string name : {"d2", "d3", "d4"}) {
            stream.put(name, name == next ? "v1" : "v2");
        }
        stream.end(attempt_kind::decode, attempt_outcome::lost);
        CHECK_TRUE(stream.reachDecode());
        CHECK(stream.find(attempt_kind::decode)->endpoint == endpoint_id(next));
        stream.speak();
        LONGS_EQUAL(1, stream.relayedVersions.size());
    }
}

// Guards against a stream that is kept waiting although no endpoint of its version is left.
TEST(stream_version, breaksOffAtOnceWithoutAnotherEndpointOfTheVersion)
{
    versioned_stream stream(decode_versions {{"d1", "v1"}});
    stream.begin();
    CHECK_TRUE(stream.reachDecode());
    stream.speak();
    stream.put("d2", "v2");
    stream.end(attempt_kind::decode, attempt_outcome::lost);
    CHECK_TRUE(stream.isBrokenOff);
    CHECK_TRUE(stream.flow->isDone());
}

// Guards against an unknown version that is taken for the one of the stream, or for another unknown one.
TEST(stream_version, isNoOtherVersionWhenItIsUnknown)
{
    for (const std::string &next : {std::string(), std::string("v1")}) {
        versioned_stream stream(decode_versions {{"d1", next.empty() ? "v1" : ""}});
        stream.begin();
        CHECK_TRUE(stream.reachDecode());
        stream.speak();
        stream.put("d2", next);
        stream.end(attempt_kind::decode, attempt_outcome::lost);
        CHECK_TRUE(stream.isBrokenOff);
    }
    versioned_stream stream(decode_versions {{"d1", ""}});
    stream.begin();
    CHECK_TRUE(stream.reachDecode());
    stream.speak();
    stream.put("d2", "");
    stream.end(attempt_kind::decode, attempt_outcome::lost);
    CHECK_TRUE(stream.isBrokenOff);
}

// Guards against a silent stream that is replaced by one of another version.
TEST(stream_version, isNotReplacedByAnotherVersionWhenItIsSilent)
{
    versioned_stream stream(decode_versions {{"d1", "v1"}});
    stream.begin();
    CHECK_TRUE(stream.reachDecode());
    stream.speak();
    stream.put("d2", "v2");
    const attempt_number decode = stream.find(attempt_kind::decode)->number;
    stream.pass(longSilence);
    CHECK(stream.find(attempt_kind::reserve) == nullptr);
    CHECK(stream.find(attempt_kind::decode) != nullptr && stream.find(attempt_kind::decode)->number == decode);
    CHECK_FALSE(stream.isBrokenOff);
}

// Guards against capacity that was reserved at a process, and is used at a later one with another version under the same id.
TEST(stream_version, isComparedAgainWhenTheReservedEndpointHasRestarted)
{
    versioned_stream stream(decode_versions {{"d1", "v1"}, {"d2", "v1"}});
    stream.begin();
    CHECK_TRUE(stream.reachDecode());
    stream.speak();
    stream.end(attempt_kind::decode, attempt_outcome::lost);
    const start_attempt *reserve = stream.find(attempt_kind::reserve);
    CHECK(reserve != nullptr);
    stream.put(reserve->endpoint.value(), "v2");
    stream.end(attempt_kind::reserve, attempt_outcome::whole);
    CHECK(stream.find(attempt_kind::decode) == nullptr);
}

// Guards against a stream that its caller resumes and that goes on at another version than the one it began at.
TEST(stream_version, isThatOfTheStreamWhichTheCallerResumes)
{
    versioned_stream stream(decode_versions {{"d1", "v1"}, {"d2", "v2"}, {"d3", "v1"}});
    stream.begin(stream_origin {service_id("engine"), service_version("v2")});
    CHECK_TRUE(stream.reachDecode());
    STRCMP_EQUAL("d2", stream.find(attempt_kind::decode)->endpoint.value().c_str());
    LONGS_EQUAL(1, stream.find(attempt_kind::decode)->resumeAfter.value_or(0));
}

// Guards against a resumption that is kept waiting or begins anew when no endpoint has its version.
TEST(stream_version, refusesAResumptionWithoutAnEndpointOfItsVersion)
{
    versioned_stream stream(decode_versions {{"d1", "v1"}, {"d2", "v1"}});
    stream.begin(stream_origin {service_id("engine"), service_version("v2")});
    CHECK_TRUE(stream.refused.has_value());
    CHECK_TRUE(stream.refused->isNotExecuted);
    CHECK_TRUE(stream.open.empty());
}

// Whatever the endpoints do, and whichever versions register under their ids meanwhile, a caller gets events of one known version, or of
// one process whose version is unknown.
TEST(stream_version, neverChangesWithinAnAnswer)
{
    static const std::vector<std::string> versions = {"v1", "v2", ""};
    CHECK_PROPERTY("one version for each answer", [](const std::vector<std::uint8_t> &choices) {
        versioned_stream stream(decode_versions {{"d1", "v1"}, {"d2", "v2"}, {"d3", "v1"}, {"d4", ""}});
        stream.begin();
        for (const std::uint8_t choice : choices) {
            switch (choice % 8) {
            case 0:
            case 1:
                stream.end(attempt_kind::reserve, attempt_outcome::whole);
                break;
            case 2:
                stream.end(attempt_kind::prefill, choice > 200 ? attempt_outcome::lost : attempt_outcome::whole);
                break;
            case 3:
                stream.end(attempt_kind::decode, choice > 200 ? attempt_outcome::rejected : attempt_outcome::lost);
                break;
            case 4:
            case 5:
                stream.speak();
                break;
            case 6:
                stream.put("d" + std::to_string(1 + choice / 8 % 4), versions[choice / 32 % 3]);
                break;
            default:
                stream.pass(choice > 128 ? longSilence : 35ms);
            }
        }
        RC_ASSERT(stream.relayedVersions.size() <= 1);
    });
}
