#include "gateway/gateway_tree.h"
#include "platform/platform.h"
#include "standins/users_platform/scripted_endpoint.h"

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(endless_pages) {};

// Guards against calls to the store in a loop without a pause, which are priced and limited: its pages announce more records without end
// and bring none.
TEST(endless_pages, areReadAgainOnlyAfterAPause)
{
    event_loop loop;
    scripted_endpoint store(loop);
    store.setRequestHandler([](scripted_connection &from, const http_request & /*request*/) {
        const std::string body = R"({"items":[],"more":true,"end":0})";
        from.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    const platform_adapter adapter;
    gateway_settings settings;
    settings.instance = instance_id("me");
    settings.dataCentre = data_centre_id("z");
    settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
    settings.storeAddress = store.address();
    const int log = ::open("/dev/null", O_WRONLY);
    {
        gateway_tree gateway(loop, settings, adapter.dialects(), log, [&](int) { loop.stop(); });
        CHECK_TRUE(gateway.start().has_value());
        timer end(loop, [&] { loop.stop(); });
        end.start(deadline::after(boot_clock::now(), 1s));
        loop.run();
    }
    ::close(log);
    // Three topics, with a pause that grows to 400 ms.
    CHECK(store.requests().size() > 3);
    CHECK(store.requests().size() < 60);
}
