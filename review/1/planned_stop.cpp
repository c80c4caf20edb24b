// Two of the three gateways of a zone are stopped in turn with SIGTERM under a steady load of short streams. Some of the streams that are
// sent more than three seconds after the signal are longer than those before. A gateway that takes such a request has to finish it or to
// refuse it.

#include "../harness.h"

using namespace review;

namespace
{

constexpr double graceSeconds = 8.0;
// Requests that are sent no later than this after the signal are excused when they are still at work in the last sixth of the grace.
constexpr double excusedSeconds = 3.0;
constexpr double stopGapSeconds = 1.0;
constexpr double warmUpSeconds = 6.0;
constexpr milliseconds sendInterval = 80ms;
constexpr milliseconds eventTime = 48ms;
constexpr int tokensPerEvent = 8;
constexpr int longEvents = 110;

struct sent_request
{
    std::string attempt;
    std::size_t gatewayIndex = 0;
    int events = 0;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0;
    bool isComplete = false;
    bool wasConnected = false;
};

std::string configuration()
{
    return json {
        {"version", 7},
        {"routes",
         {{{"name", "summary"},
           {"host", "shop.example"},
           {"path_prefix", "/summary/"},
           {"kind", "streaming"},
           {"timeout_ms", 14000},
           {"target_latency_ms", 900},
           {"priority", 1},
           {"service", "scribe"},
           {"max_attempts", 1},
           {"public", false},
           {"sticky", true},
           {"resumable", false},
           {"gap_aim_ms", 300}}}},
        {"services",
         {{{"name", "scribe"},
           {"health_path", "/health"},
           {"max_conns", 360},
           {"cold_start_s", 3.0},
           {"cold_per_s", 22.0},
           {"engine", {{"slots", 64}, {"kv_capacity", 400000}, {"kv_hold_s", 0.5}, {"hold_ms", 2000.0}}}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}, {"unit", "tokens"}, {"plain_tokens", 200}}}}}
        .dump();
}

void sendRequest(sent_request &request, const gateway &to, recorder &record)
{
    const auto connection = connectTo(to.callers());
    if (!connection) {
        request.endedAt = record.seconds();
        return;
    }
    request.wasConnected = true;
    const std::string body = "summarise";
    connection->send("POST /summary/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + request.attempt
                     + "\r\nX-Model: m\r\nX-Token-Counts: 3000," + std::to_string(request.events * tokensPerEvent) + "\r\nX-Prompt-Prefix: "
                     + request.attempt + ":3000\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer key-1\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
    request.sentAt = record.seconds();
    const message answer = readMessage(*connection, false, steady::now() + 14s);
    request.endedAt = record.seconds();
    request.status = answer.status();
    request.isComplete = answer.isWhole;
}

} // namespace

int main(int /*count*/, char **arguments)
{
    const std::string folder = arguments[1];
    recorder record(folder + "/record.txt");
    const scratch_folder scratch;
    store platform;
    run_list runs;
    std::vector<std::unique_ptr<engine>> engines;
    for (const char *const id : {"p1", "p2"}) {
        engines.push_back(std::make_unique<engine>(id, "prefill", record, runs, eventTime));
    }
    for (const char *const id : {"d1", "d2", "d3", "d4"}) {
        engines.push_back(std::make_unique<engine>(id, "decode", record, runs, eventTime));
    }
    platform.put("keyed.op", "config", configuration());
    for (const auto &one : engines) {
        platform.put("keyed.servers", one->id(), one->entry("scribe", "z"));
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<gateway *> zone;
    for (const char *const name : {"edge-z-1", "edge-z-2", "edge-z-3"}) {
        gateways.push_back(std::make_unique<gateway>(name, "z", scratch.path(), platform.port()));
        zone.push_back(gateways.back().get());
        gateways.back()->start();
    }
    if (!waitFor(20s, [&] { return std::all_of(zone.begin(), zone.end(), [](const gateway *one) { return one->isReady(); }); })) {
        record.write("the gateways do not get ready");
        endProgram(exitNotRun, gateways, scratch);
    }
    record.write("the gateways are ready");

    std::deque<sent_request> requests;
    std::vector<std::thread> clients;
    std::vector<double> stoppedAt(zone.size(), 0.0);
    {
        load_balancer balancer(zone);
        const double start = record.seconds();
        const double firstStop = start + warmUpSeconds;
        bool isFirstLong = true;
        for (int number = 0; record.seconds() < firstStop + 6.0; ++number) {
            for (std::size_t at = 0; at < 2; ++at) {
                if (hasTrouble() && stoppedAt[at] == 0.0 && record.seconds() >= firstStop + stopGapSeconds * static_cast<double>(at)) {
                    stoppedAt[at] = record.seconds();
                    record.write(zone[at]->name() + " gets SIGTERM");
                    zone[at]->signal(SIGTERM);
                }
            }
            gateway &chosen = balancer.choose(static_cast<std::size_t>(number));
            sent_request &request = requests.emplace_back();
            request.attempt = "a" + std::to_string(1000 + number);
            request.gatewayIndex = static_cast<std::size_t>(std::find(zone.begin(), zone.end(), &chosen) - zone.begin());
            const bool isLong = record.seconds() > firstStop + excusedSeconds + stopGapSeconds + 0.2 && number % 5 == 0;
            request.events = isLong ? longEvents : 12 + number % 4 * 4;
            if (isLong && std::exchange(isFirstLong, false)) {
                record.write("from now on, every fifth stream is longer");
            }
            clients.emplace_back([&request, &chosen, &record] { sendRequest(request, chosen, record); });
            std::this_thread::sleep_for(sendInterval);
        }
        for (std::thread &client : clients) {
            client.join();
        }
    }
    for (std::size_t at = 0; at < 2; ++at) {
        const auto status = zone[at]->status();
        record.write(zone[at]->name() + (status ? " has ended with status " + std::to_string(*status) : " still runs"));
    }

    int lost = 0;
    int complete = 0;
    int refused = 0;
    int other = 0;
    for (const sent_request &request : requests) {
        const gateway &taker = *zone[request.gatewayIndex];
        const double stop = stoppedAt[request.gatewayIndex];
        const std::vector<run> ran = runs.of(request.attempt);
        std::string verdict;
        if (request.isComplete && request.status == 200) {
            ++complete;
            verdict = "complete";
        } else if (request.isComplete) {
            ++refused;
            verdict = "refused";
        } else {
            ++other;
            verdict = request.wasConnected ? "no complete answer" : "no connection";
        }
        const double afterStop = request.sentAt - stop;
        const bool isPlannedWork = stop > 0 && request.endedAt >= stop && request.sentAt <= stop + graceSeconds + 1.0;
        const bool isExcused = afterStop <= excusedSeconds && request.endedAt >= stop + graceSeconds * 5.0 / 6.0;
        if (request.wasConnected && !request.isComplete && !ran.empty() && isPlannedWork && !isExcused) {
            ++lost;
            verdict += ": LOST, sent " + std::to_string(afterStop) + " s after SIGTERM, passed on to " + ran.front().endpoint + ", cut "
                + std::to_string(request.endedAt - stop) + " s after SIGTERM";
        }
        record.write("client: " + request.attempt + " to " + taker.name() + ", " + std::to_string(request.events) + " events, sent at "
                     + std::to_string(request.sentAt) + ", status " + std::to_string(request.status) + ", " + verdict);
    }
    record.write("requests " + std::to_string(requests.size()) + ", complete " + std::to_string(complete) + ", refused "
                 + std::to_string(refused) + ", without a complete answer " + std::to_string(other) + ", of these LOST "
                 + std::to_string(lost));
    if (complete < static_cast<int>(requests.size()) / 2) {
        endProgram(exitNotRun, gateways, scratch);
    }
    endProgram(lost > 0 ? exitBroken : exitHeld, gateways, scratch);
}
