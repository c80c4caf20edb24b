#include "gateway/scripted_deployment.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// A refusal of a call without an id, such as one for a reservation.
constexpr const char *refusalWithoutId = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// A faulty endpoint may write an earlier response once more on a kept connection. It must not be taken for the response to a later request:
// the caller would be told that a request has not run which the endpoint runs, or the request would run at a second endpoint.
TEST_GROUP(repeated_response)
{
    scripted_deployment site;
};

TEST(repeated_response, ofAnotherRequestIsNotTheResponse)
{
    site.startServing();
    std::string earlier;
    site.plain.setRequestHandler([&](scripted_connection &from, const http_request &request) {
        if (earlier.empty()) {
            earlier = scripted_endpoint::refusal(request);
            from.write(earlier);
            return;
        }
        from.write(earlier);
        from.write(scripted_endpoint::success(request, "true answer"));
    });
    LONGS_EQUAL(503, site.call("POST", "/unsafe/x").status);
    const http_response response = site.call("POST", "/unsafe/x");
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("true answer", response.body.c_str());
    LONGS_EQUAL(1, scripted_deployment::countRuns(site.plain, "a" + std::to_string(site.lastRequest)));
}

TEST(repeated_response, withoutIdIsNotTheResponseToARequestWithAnId)
{
    site.startServing();
    site.plain.setRequestHandler([](scripted_connection &from, const http_request &request) {
        from.write(refusalWithoutId);
        from.write(scripted_endpoint::success(request, "true answer"));
    });
    const http_response response = site.call("POST", "/unsafe/x");
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("true answer", response.body.c_str());
    LONGS_EQUAL(1, scripted_deployment::countRuns(site.plain, "a" + std::to_string(site.lastRequest)));
}

TEST(repeated_response, ofAReservationIsNotTheResponseToTheDecode)
{
    site.startServing();
    int calls = 0;
    site.decode.setRequestHandler([&](scripted_connection &from, const http_request &request) {
        if (++calls == 1) {
            from.write(refusalWithoutId);
            return;
        }
        if (request.path() != "/hold-take") {
            from.write(refusalWithoutId);
        }
        scripted_deployment::answer(from, request);
    });
    const http_response response = site.call("POST", "/text/x");
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.body.c_str());
    LONGS_EQUAL(1, scripted_deployment::countRuns(site.decode, "a" + std::to_string(site.lastRequest)));
}

// Guards against capacity that stays reserved although the request that reserved it was told that there is none.
TEST(repeated_response, ofAReservationIsNotTheResponseToALaterReservation)
{
    site.startServing();
    int reservations = 0;
    site.decode.setRequestHandler([&](scripted_connection &from, const http_request &request) {
        if (request.path() == "/hold-take") {
            from.write(refusalWithoutId);
            if (++reservations == 1) {
                return;
            }
        }
        scripted_deployment::answer(from, request);
    });
    LONGS_EQUAL(200, site.call("POST", "/text/x").status);
    LONGS_EQUAL(2, reservations);
    CHECK_TRUE(site.decode.requests().back().headers.has("X-Kv-Hold"));
}

// The id does not tell the responses to two attempts of one request apart, so the second attempt needs a connection on which no response
// to the first one can follow.
TEST(repeated_response, toAnEarlierAttemptIsNotTheResponseToARepeatAtTheSameEndpoint)
{
    site.startServing();
    std::size_t firstConnection = 0;
    int prefills = 0;
    site.prefill.setRequestHandler([&](scripted_connection &from, const http_request &request) {
        if (++prefills == 1) {
            firstConnection = from.number();
            // Unusable because of its encoding, so the attempt counts as lost.
            from.write("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id"))
                       + "\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        if (from.number() == firstConnection) {
            from.write(scripted_endpoint::refusal(request));
        }
        scripted_deployment::answer(from, request);
    });
    LONGS_EQUAL(200, site.call("POST", "/resumed/x").status);
    LONGS_EQUAL(2, prefills);
    LONGS_EQUAL(2, site.prefill.connectionCount());
}
