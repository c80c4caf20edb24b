// Serves a streaming request and a booking through daemons of two data centres on loopback, and says what answered. Ends everything that it
// started. Exit status 0 only if each request was answered whole.

#include "site/site.h"

#include <cstdlib>
#include <iostream>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace burdockshelf;
using namespace std::chrono_literals;

constexpr auto servingLimit = 60s;
constexpr auto recordLimit = 10s;
constexpr auto retryPause = 100ms;
constexpr int conflictStatus = 409;

int executions(site &deployment, const std::string &key)
{
    int count = 0;
    for (const site_endpoint &endpoint : deployment.endpoints()) {
        const auto state =
            endpoint.role == "plain" ? deployment.fetch(endpoint.address, "/control/state") : outcome<std::string>(std::string("{}"));
        const auto document = nlohmann::json::parse(state ? state.value() : "{}", nullptr, false);
        count += document.value("by_key", nlohmann::json::object()).value(key, 0);
    }
    return count;
}

// The outcome reaches the other instances through the log; until then they answer that the call is in progress, and a caller tries again.
http_call_result bookAgain(site &deployment, site_instance &at, const std::string &key)
{
    const deadline until = deadline::after(boot_clock::now(), recordLimit);
    while (true) {
        http_call_result answer = deployment.call(at, key, "/booking/slots", "demo-1", R"({"slot":"A7"})");
        const bool isInProgress = answer.has_value() && answer.value().status == conflictStatus;
        if (!isInProgress || until.hasPassed(boot_clock::now())) {
            return answer;
        }
        std::cout << at.name << " answered: " << answer.value().body << "\n";
        deployment.pause(retryPause);
    }
}

outcome<bool> serve(site &deployment)
{
    BOOST_OUTCOME_TRYV(deployment.start());
    BOOST_OUTCOME_TRYV(deployment.waitUntilServing(servingLimit));
    const std::string key = deployment.keyOf("dispatch");
    site_instance &first = deployment.instances().front();
    site_instance &last = deployment.instances().back();
    const streamed_answer streamed = deployment.complete(first, key, "Summarise the consignments of March.", 12);
    std::cout << first.name << " streamed " << streamed.events << " events: " << streamed.text << "\n  served by " << streamed.servedBy
              << "\n";
    const http_call_result booked = deployment.call(last, key, "/booking/slots", "demo-1", R"({"slot":"A7"})");
    if (!booked) {
        return booked.error().cause;
    }
    std::cout << last.name << " booked: " << booked.value().status << " " << booked.value().body << "\n  served by "
              << booked.value().headers.value("X-Served-By") << "\n";
    const http_call_result again = bookAgain(deployment, first, key);
    if (!again) {
        return again.error().cause;
    }
    std::cout << first.name << " answered the same booking again: " << again.value().status << " " << again.value().body << "\n";
    const int runs = executions(deployment, "demo-1");
    std::cout << "the booking ran " << runs << " time(s)\n";
    const bool isSame = booked.value().status == 200 && again.value().status == 200 && booked.value().body == again.value().body;
    return streamed.isWhole && streamed.events > 0 && isSame && runs == 1;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    event_loop loop;
    site deployment(loop, site_plan::small());
    const auto served = serve(deployment);
    if (!served) {
        std::cout << "FAILED: " << served.error() << "\n";
        return EXIT_FAILURE;
    }
    std::cout << (served.value() ? "ok" : "FAILED") << "\n";
    return served.value() ? EXIT_SUCCESS : EXIT_FAILURE;
}
