#include "gateway/scripted_deployment.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

std::string headWithoutLength(const http_request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
        + std::string(request.headers.value("X-Attempt-Id")) + "\r\n\r\n";
}

enum class connection_end
{
    closed,
    reset,
};

// Writes a response without a length, whose connection then ends.
void respond(scripted_connection &from, const http_request &request, const std::string &body, connection_end end)
{
    from.write(headWithoutLength(request) + body);
    if (end == connection_end::closed) {
        from.finishWriting();
    } else {
        from.reset();
    }
}

} // namespace

// A response may have no length and end with its connection. One that was broken off must not look complete to the caller.
TEST_GROUP(response_without_length)
{
    scripted_deployment site;

    // The response of a route to a body without a length.
    http_response call(const std::string &method, const std::string &target, const std::string &body, connection_end end)
    {
        for (scripted_endpoint *endpoint : {&site.plain, &site.decode}) {
            endpoint->setRequestHandler([=](scripted_connection &from, const http_request &request) {
                if (request.path() == "/hold-take") {
                    scripted_deployment::answer(from, request);
                } else {
                    respond(from, request, body, end);
                }
            });
        }
        return site.call(method, target);
    }
};

TEST(response_without_length, isCompleteWhenItsConnectionWasClosed)
{
    site.startServing();
    const http_response plain = call("POST", "/unsafe/x", "whole", connection_end::closed);
    LONGS_EQUAL(200, plain.status);
    STRCMP_EQUAL("whole", plain.body.c_str());
    const http_response stream = call("POST", "/text/x", "id: 1\ndata: a\n\n", connection_end::closed);
    LONGS_EQUAL(200, stream.status);
    STRCMP_EQUAL("id: 1\ndata: a\n\n", stream.body.c_str());
}

TEST(response_without_length, isBrokenOffWhenItsConnectionWasReset)
{
    site.startServing();
    LONGS_EQUAL(502, call("POST", "/unsafe/x", "whole", connection_end::reset).status);
    const int status = call("POST", "/text/x", "id: 1\ndata: a\n\n", connection_end::reset).status;
    CHECK(status == 0 || status == 502);
}

// A stream that ends inside an event was broken off, also when its route is not resumable.
TEST(response_without_length, isBrokenOffWhenItsStreamEndsInsideAnEvent)
{
    site.startServing();
    for (const std::string rest : {"id: 2\nda", "id: 2\ndata: b\n", "i", ": comment"}) {
        LONGS_EQUAL(0, call("POST", "/text/x", "id: 1\ndata: a\n\n" + rest, connection_end::closed).status);
    }
}

TEST(response_without_length, isBrokenOffWhenItsStreamEndsInsideItsFirstEvent)
{
    site.startServing();
    const int status = call("POST", "/text/x", "id: 1\ndata", connection_end::closed).status;
    CHECK(status == 0 || status == 502);
}

// Guards against a stream whose endpoint ended after the head of its response, which looked like a complete stream without events.
TEST(response_without_length, isBrokenOffWhenItsStreamHasNoEvent)
{
    site.startServing();
    LONGS_EQUAL(502, call("POST", "/text/x", "", connection_end::closed).status);
}

// A line break after the last event belongs to no event.
TEST(response_without_length, mayEndInBlankLines)
{
    site.startServing();
    LONGS_EQUAL(200, call("POST", "/text/x", "id: 1\ndata: a\n\n\n", connection_end::closed).status);
}

// Guards against a second response head within a stream of a service without engines.
TEST(response_without_length, isRelayedOnceFromAServiceWithoutEngines)
{
    site.startServing();
    const http_response stream = call("POST", "/events/x", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", connection_end::closed);
    LONGS_EQUAL(200, stream.status);
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", stream.body.c_str());
    LONGS_EQUAL(0, call("POST", "/events/x", "id: 1\ndata: a\n\nid: 2\nda", connection_end::closed).status);
}
