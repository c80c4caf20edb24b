// Half of the decode replicas spoil one in fifty of their answers to the taking of a hold: the body is a long run of opening brackets. The
// gateway parses it as JSON, which takes many times its bytes. Exits with 1 if gateways end three times on two machines.
#include "../stand_ins_2.h"

#include <array>

using namespace review;

namespace
{

// The machine and the bounds are those of sites/rampa-hat.toml.
constexpr int memoryMb = 110;
constexpr int requests = 400;
// As in the kind garble: the share of the replicas, and the share of the answers that they spoil.
constexpr int spoiledReplicas = 3;
constexpr int answersPerSpoiled = 50;
constexpr std::size_t spoiledBytes = 2'000'000;
constexpr int decodeReplicas = 6;
constexpr int prefillReplicas = 3;
constexpr int events = 66;
constexpr auto eventPause = 40ms;

std::string configuration()
{
    return R"({"version":7,"routes":[)"
           R"({"name":"r-a","host":"desk.example","path_prefix":"/ozet/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,)"
           R"("priority":1,"service":"dil","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":300},)"
           R"({"name":"r-b","host":"desk.example","path_prefix":"/onay/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":100,)"
           R"("priority":2,"service":"rezerv","max_attempts":1,"public":false}],)"
           R"("services":[{"name":"dil","health_path":"/health","max_conns":370,"cold_start_s":3.0,"cold_per_s":22.0,)"
           R"("engine":{"slots":64,"kv_capacity":40510,"kv_token_bytes":327680,"link_mbps":2600000.0,"kv_hold_s":0.5,"switch_s":6.0,)"
           R"("pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},)"
           R"({"name":"rezerv","health_path":"/health","max_conns":110,"cold_start_s":0.0,"cold_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t-a","api_keys":["key-a"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]})";
}

std::string summary(int number)
{
    return "POST /ozet/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: summary" + std::to_string(number)
        + "\r\nX-Model: m\r\nX-Token-Counts: 150,66\r\nX-Prompt-Prefix: 5c1e07a2:100,e4402b7d:50\r\nX-Deadline-Ms: 14000\r\n"
          "Authorization: Bearer key-a\r\nContent-Length: 10\r\n\r\n0123456789";
}

std::string booking(int number)
{
    return "POST /onay/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ordinary" + std::to_string(number)
        + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-a\r\nContent-Length: 4\r\n\r\nslot";
}

} // namespace

int main(int count, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    record_file record(count > 1 ? arguments[1] : "record.txt");
    record.write("TROUBLE=%d", hasTrouble() ? 1 : 0);
    const scratch_folder scratch;
    store platform;
    platform.put("keyed.op", "config", configuration());

    std::atomic<int> runs = 0;
    std::atomic<int> running = 0;
    std::atomic<int> mostRunning = 0;
    std::atomic<int> holds = 0;
    std::atomic<int> spoiled = 0;
    std::array<std::atomic<int>, decodeReplicas> taken = {};
    std::vector<std::unique_ptr<replica>> replicas;
    const auto add = [&](const std::string &id, const std::string &service, const std::string &stage, int slots, server::handler handler) {
        replicas.push_back(std::make_unique<replica>(platform, replica_plan {id, service, stage, slots}, std::move(handler)));
    };
    const auto seal = [](const std::string &id, const message &request) {
        return "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Server-Seal: seal-" + id + "\r\n";
    };
    for (int i = 0; i < prefillReplicas; ++i) {
        const std::string id = "p" + std::to_string(i);
        add(id, "dil", "prefill", 64, [&, id](connection &to, message &request) {
            if (request.header("x-stage") != "prefill") {
                return to.send(response(200, "", "{}"));
            }
            std::this_thread::sleep_for(10ms);
            return to.send(response(200,
                                    "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nContent-Type: application/json\r\n",
                                    "{\"kv_handle\":\"h" + std::to_string(++holds) + "\",\"tokens\":150,\"version\":1}"));
        });
    }
    for (int i = 0; i < decodeReplicas; ++i) {
        const std::string id = "d" + std::to_string(i);
        add(id, "dil", "decode", 64, [&, id, i](connection &to, message &request) {
            if (request.target() == "/hold-take") {
                if (hasTrouble() && i < spoiledReplicas && ++taken[static_cast<std::size_t>(i)] % answersPerSpoiled == 0) {
                    ++spoiled;
                    record.write("%s spoils an answer to /hold-take", id.c_str());
                    return to.send(response(200, "Content-Type: application/json\r\n", std::string(spoiledBytes, '[')));
                }
                return to.send(response(200, "Content-Type: application/json\r\n", "{\"hold\":\"r" + std::to_string(++holds) + "\"}"));
            }
            if (request.header("x-attempt-id").empty()) {
                return to.send(response(200, "", "{}"));
            }
            ++runs;
            record.write("%s runs at %s", request.header("x-attempt-id").c_str(), id.c_str());
            const int now = ++running;
            mostRunning = std::max<int>(mostRunning, now);
            bool isSent = to.send("HTTP/1.1 200 OK\r\n" + seal(id, request)
                                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= events && isSent; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                isSent = to.send(size + text + "\r\n");
                std::this_thread::sleep_for(eventPause);
            }
            --running;
            return isSent && to.send("0\r\n\r\n");
        });
    }
    for (int i = 0; i < 2; ++i) {
        const std::string id = "s" + std::to_string(i);
        add(id, "rezerv", "", 6, [&, id](connection &to, message &request) {
            std::this_thread::sleep_for(15ms);
            return to.send(response(200, seal(id, request), "booked"));
        });
    }
    int result = exitCouldNotRun;
    {
        const heartbeats beats(replicas);
        std::vector<std::unique_ptr<gateway>> machines;
        for (int i = 1; i <= machinesToEnd; ++i) {
            machines.push_back(
                std::make_unique<gateway>(scratch.path(), platform.port(), gateway_plan {"edge-z-" + std::to_string(i), memoryMb, 4100}));
        }
        bool couldRun = true;
        for (int turn = 0; turn < machinesToEnd * endsOfEach && couldRun; ++turn) {
            gateway &target = *machines[static_cast<std::size_t>(turn % machinesToEnd)];
            const auto callOnce = [&](int number) {
                const auto to = connection::open(target.callers());
                if (!to || !to->send(booking(number))) {
                    return 0;
                }
                const auto answer = to->readMessage(steady::now() + 1500ms);
                return answer ? answer->status() : 0;
            };
            if (target.waitUntilReady() && callOnce(1000 + turn) == 200) {
                std::this_thread::sleep_for(1s);
                record.write("ready; resident %ld KB, limit of the machine %d KB", target.memoryKb("VmRSS"), memoryMb * 1024);
                std::mutex mutex;
                std::map<int, int> statuses;
                std::vector<std::thread> callers;
                for (int i = 0; i < requests; ++i) {
                    callers.emplace_back([&, i] {
                        int status = 0;
                        if (const auto to = connection::open(target.callers()); to && to->send(summary(i))) {
                            if (const auto answer = to->readMessage(steady::now() + 14s)) {
                                status = answer->status();
                            }
                        }
                        record.write("summary%d answered with %d; resident %ld KB", i, status, target.memoryKb("VmRSS"));
                        const std::lock_guard lock(mutex);
                        ++statuses[status];
                    });
                    std::this_thread::sleep_for(20ms);
                }
                record.write("%d requests sent", requests);
                for (std::thread &one : callers) {
                    one.join();
                }
                for (const auto &[status, number] : statuses) {
                    record.write("status %d: %d", status, number);
                }
                record.write("replicas ran %d of them, %d at the same time, and spoiled %d answers of %zu bytes",
                             runs.load(),
                             mostRunning.load(),
                             spoiled.load(),
                             spoiledBytes);
                const bool hasEnded = target.restartIfEnded();
                target.waitUntilReady();
                const long peak = target.highestPeakKb();
                int ordinary = 0;
                for (int attempt = 1; attempt <= 5 && ordinary != 200; ++attempt) {
                    ordinary = callOnce(attempt);
                }
                record.write("gateway %s; peak of its resident memory %ld KB, limit %d KB",
                             hasEnded ? "was killed and started again" : "lives",
                             peak,
                             memoryMb * 1024);
                record.write("an ordinary request afterwards: status %d", ordinary);
            } else {
                record.write("the gateway did not get ready");
                couldRun = false;
            }
        }
        const bool isBroken =
            std::all_of(machines.begin(), machines.end(), [](const auto &machine) { return machine->ends() >= endsOfEach; });
        record.write("ends for memory over the limit: %d and %d", machines[0]->ends(), machines[1]->ends());
        record.write("%s", isBroken ? "BROKEN: processes end three times on each of two machines" : "held");
        if (couldRun) {
            result = isBroken ? exitBroken : exitHeld;
        }
    }
    scratch.remove();
    _exit(result);
}
