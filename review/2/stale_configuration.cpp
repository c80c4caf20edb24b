// The store stays silent for some seconds and returns. A configuration is acknowledged right after its return: it drops a key of one tenant
// and adds a key for another. Requests with both keys are sent to each gateway once all bounds apply again.

#include "../harness.h"

using namespace review;

namespace
{

constexpr int gatewayCount = 8;
constexpr int outages = 4;
constexpr milliseconds silence = 4500ms;
constexpr double configSeconds = 2.0;
constexpr double contactSeconds = 3.0;
// Requests are sent this long after the bounds apply again, so that none of them is judged at the very edge.
constexpr double marginSeconds = 0.05;
constexpr double probingSeconds = 0.9;

struct sent_request
{
    std::string attempt;
    std::string to;
    std::string key;
    bool isKeyInForce = false;
    double acknowledgedAt = 0;
    double sentAt = 0;
    int status = 0;
};

std::string configuration(int version, const std::vector<std::string> &firstKeys, const std::vector<std::string> &secondKeys)
{
    return json {
        {"version", version},
        {"routes",
         {{{"name", "look"},
           {"host", "desk.example"},
           {"path_prefix", "/look/"},
           {"kind", "safe"},
           {"timeout_ms", 1500},
           {"target_latency_ms", 300},
           {"priority", 2},
           {"service", "desk"},
           {"max_attempts", 2},
           {"public", false}}}},
        {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 110}, {"cold_start_s", 0.0}, {"cold_per_s", 0.0}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants",
         {{{"name", "t1"}, {"api_keys", firstKeys}, {"unit", "tokens"}, {"plain_tokens", 200}},
          {{"name", "t2"}, {"api_keys", secondKeys}, {"unit", "tokens"}, {"plain_tokens", 200}}}}}
        .dump();
}

void sendRequest(sent_request &request, const gateway &to, recorder &record)
{
    const auto connection = connectTo(to.callers());
    if (!connection) {
        return;
    }
    request.sentAt = record.seconds();
    connection->send("GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + request.attempt
                     + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + request.key + "\r\n\r\n");
    request.status = readMessage(*connection, false, steady::now() + 1500ms).status();
}

} // namespace

int main(int /*count*/, char **arguments)
{
    const std::string folder = arguments[1];
    recorder record(folder + "/record.txt");
    const scratch_folder scratch;
    store platform;
    run_list runs;
    std::vector<std::unique_ptr<plain_endpoint>> endpoints;
    std::vector<std::string> firstKeys = {"kept-1"};
    std::vector<std::string> secondKeys = {"kept-2"};
    for (int outage = 1; outage <= outages; ++outage) {
        firstKeys.push_back("dropped-" + std::to_string(outage));
    }
    int version = 7;
    platform.put("keyed.op", "config", configuration(version, firstKeys, secondKeys));
    for (const char *const id : {"s1", "s2", "s3", "s4"}) {
        endpoints.push_back(std::make_unique<plain_endpoint>(id, record, runs, 6, 15ms));
        platform.put("keyed.servers", id, endpoints.back()->entry("desk", "z"));
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int number = 1; number <= gatewayCount; ++number) {
        gateways.push_back(std::make_unique<gateway>("edge-z-" + std::to_string(number), "z", scratch.path(), platform.port()));
        gateways.back()->start();
    }
    if (!waitFor(20s, [&] { return std::all_of(gateways.begin(), gateways.end(), [](const auto &one) { return one->isReady(); }); })) {
        record.write("the gateways do not get ready");
        endProgram(exitNotRun, gateways, scratch);
    }
    record.write("the gateways are ready");
    std::this_thread::sleep_for(4s);

    std::deque<sent_request> requests;
    for (int outage = 1; outage <= outages; ++outage) {
        if (hasTrouble()) {
            record.write("the store is silent");
            platform.setSilent(true);
        }
        std::this_thread::sleep_for(silence);
        platform.setSilent(false);
        const double returnedAt = record.seconds();
        record.write("the store serves");
        std::this_thread::sleep_for(100ms);
        const std::string droppedKey = "dropped-" + std::to_string(outage);
        const std::string addedKey = "added-" + std::to_string(outage);
        std::erase(firstKeys, droppedKey);
        secondKeys.push_back(addedKey);
        platform.put("keyed.op", "config", configuration(++version, firstKeys, secondKeys));
        const double acknowledgedAt = record.seconds();
        record.write("version " + std::to_string(version) + " is acknowledged: without " + droppedKey + ", with " + addedKey);

        const double from = std::max(returnedAt + contactSeconds, acknowledgedAt + configSeconds) + marginSeconds;
        std::this_thread::sleep_for(std::chrono::duration<double>(from - record.seconds()));
        std::vector<std::thread> clients;
        while (record.seconds() < from + probingSeconds) {
            for (const auto &target : gateways) {
                for (const std::string &key : {droppedKey, addedKey}) {
                    sent_request &request = requests.emplace_back();
                    request.attempt = "a" + std::to_string(10000 + requests.size());
                    request.to = target->name();
                    request.key = key;
                    request.isKeyInForce = key == addedKey;
                    request.acknowledgedAt = acknowledgedAt;
                    clients.emplace_back([&request, &to = *target, &record] { sendRequest(request, to, record); });
                }
            }
            std::this_thread::sleep_for(100ms);
        }
        for (std::thread &client : clients) {
            client.join();
        }
        std::this_thread::sleep_for(1s);
    }

    int ranWithDroppedKey = 0;
    int refusedWithKeyInForce = 0;
    int served = 0;
    for (const sent_request &request : requests) {
        const bool hasRun = !runs.of(request.attempt).empty();
        const double after = request.sentAt - request.acknowledgedAt;
        std::string verdict;
        if (!request.isKeyInForce && hasRun) {
            ++ranWithDroppedKey;
            verdict = ", CONFIG: run with a dropped key, sent " + std::to_string(after) + " s after the acknowledgement";
        } else if (request.isKeyInForce && request.status == 401) {
            ++refusedWithKeyInForce;
            verdict = ", CONFIG: refused with 401 though the key is there, sent " + std::to_string(after) + " s after the acknowledgement";
        }
        served += request.isKeyInForce && request.status == 200 ? 1 : 0;
        record.write("client: " + request.attempt + " to " + request.to + " with " + request.key + ", sent at "
                     + std::to_string(request.sentAt) + ", status " + std::to_string(request.status) + (hasRun ? ", run" : ", not run")
                     + verdict);
    }
    record.write("requests " + std::to_string(requests.size()) + ", served with a key in force " + std::to_string(served)
                 + ", run with a dropped key " + std::to_string(ranWithDroppedKey) + ", refused with 401 with a key in force "
                 + std::to_string(refusedWithKeyInForce));
    if (served == 0) {
        endProgram(exitNotRun, gateways, scratch);
    }
    endProgram(ranWithDroppedKey + refusedWithKeyInForce > 0 ? exitBroken : exitHeld, gateways, scratch);
}
