#include "gateway/raw_caller.h"
#include "gateway/scripted_deployment.h"

#include <functional>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto callTime = 1500ms;
constexpr auto silenceTime = 150ms;

enum class connection_end
{
    closed,
    reset,
    silent,
};

void end(scripted_connection &connection, connection_end how)
{
    if (how == connection_end::closed) {
        connection.finishWriting();
    } else if (how == connection_end::reset) {
        connection.reset();
    }
}

std::string idOf(const http_request &request)
{
    return std::string(request.headers.value("X-Attempt-Id"));
}

std::string streamHead(const std::string &id, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\n" + framing + "\r\n";
}

// The head of a successful response but for its framing.
std::string sealedHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal\r\n";
}

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: " + std::string(1, static_cast<char>('a' + id)) + "\n\n";
    }
    return text;
}

const std::string lastChunk = "0\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

// What reaches a caller of an endpoint that breaks off, and of the next one that answers in its place: a whole and right response, or one
// that is visibly broken.
TEST_GROUP(broken_response)
{
    using script = std::function<void(scripted_connection &, const http_request &)>;

    scripted_deployment site;
    scripted_endpoint second {site.loop};
    std::vector<script> scripts;
    std::size_t runs = 0;
    int lastId = 0;

    void serve()
    {
        // A second endpoint of each kind, so that an attempt can be repeated elsewhere.
        site.store.put("keyed.servers", "d2", second.entry("engine", "z", "decode"));
        second.setRequestHandler(&scripted_deployment::answer);
        site.startServing();
        for (scripted_endpoint *endpoint : {&site.plain, &site.decode, &second}) {
            endpoint->setRequestHandler([this](scripted_connection &from, const http_request &request) {
                if (request.path() == "/hold-take" || request.headers.has("X-Stage")) {
                    scripted_deployment::answer(from, request);
                    return;
                }
                const std::size_t run = std::min(runs++, scripts.size() - 1);
                scripts[run](from, request);
            });
        }
    }

    std::unique_ptr<raw_caller> call(const std::string &method, const std::string &target, std::chrono::milliseconds allowed = callTime)
    {
        runs = 0;
        const bool isModelCall = target.starts_with("/text/") || target.starts_with("/resumed/");
        auto caller = std::make_unique<raw_caller>(site.loop, site.gateway->callerAddress());
        caller->send(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: b" + std::to_string(++lastId)
                     + "\r\nX-Deadline-Ms: " + std::to_string(allowed.count()) + "\r\nAuthorization: Bearer k1\r\n"
                     + (isModelCall ? "X-Token-Counts: 1000,50\r\n" : "") + (method == "POST" ? "Content-Length: 1\r\n\r\nx" : "\r\n"));
        while (!caller->isDone() && !site.isTimedOut) {
            site.pause(5ms);
        }
        CHECK_FALSE(site.isTimedOut);
        return caller;
    }

    // Makes the endpoints sound again and earns retries, so that the next case reaches its second attempt.
    void recover()
    {
        scripts = {&scripted_deployment::answer};
        for (int whole = 0; whole < 12 && !site.isTimedOut;) {
            whole += call("POST", "/resumed/x")->status() == 200 ? 1 : 0;
        }
    }

    // The first attempt sends some events and breaks off.
    static script breakAfter(int lastEvent, connection_end how)
    {
        return [=](scripted_connection &from, const http_request &request) {
            from.write(streamHead(idOf(request), chunked) + chunk(events(1, lastEvent)));
            end(from, how);
        };
    }

    static script write(const std::function<std::string(const std::string &id)> &bytes, connection_end how)
    {
        return [=](scripted_connection &from, const http_request &request) {
            from.write(bytes(idOf(request)));
            end(from, how);
        };
    }

    // One head, whole events in order, and complete only with all of them.
    void checkStream(const raw_caller &caller, int lastEvent, const std::string &name)
    {
        LONGS_EQUAL_TEXT(1, countOf(caller.bytes(), "HTTP/1.1"), name.c_str());
        if (caller.status() != 200) {
            CHECK_TEXT(caller.status() >= 500, name.c_str());
            return;
        }
        const std::string whole = events(1, lastEvent);
        CHECK_TEXT(whole.compare(0, caller.body().size(), caller.body()) == 0, (name + ": " + caller.body()).c_str());
        if (caller.isComplete()) {
            STRCMP_EQUAL_TEXT(whole.c_str(), caller.body().c_str(), name.c_str());
        }
    }
};

// The report: a stream had begun and broke off, and clients found the next endpoint's error in their stream.
TEST(broken_response, containsNothingOfTheNextEndpointsError)
{
    serve();
    const std::string errorBody = R"({"error":"failed"})";
    const std::string length = "Content-Length: " + std::to_string(errorBody.size()) + "\r\n";
    const std::string seal = "X-Server-Seal: seal\r\n";
    struct
    {
        std::string name;
        std::function<std::string(const std::string &)> bytes;
    } const answers[] = {
        {"error with length",
         [=](const std::string &id) {
             return "HTTP/1.1 500 Error\r\nX-Attempt-Id: " + id + "\r\n" + seal + length + "\r\n" + errorBody;
         }},
        {"error in chunks",
         [=](const std::string &id) {
             return "HTTP/1.1 500 Error\r\nX-Attempt-Id: " + id + "\r\n" + seal + chunked + "\r\n" + chunk(errorBody) + lastChunk;
         }},
        {"error without length",
         [=](const std::string &id) {
             return "HTTP/1.1 500 Error\r\nX-Attempt-Id: " + id + "\r\n" + seal + "\r\n" + errorBody;
         }},
        {"client error",
         [=](const std::string &id) {
             return "HTTP/1.1 400 Bad\r\nX-Attempt-Id: " + id + "\r\n" + seal + length + "\r\n" + errorBody;
         }},
        {"refusal",
         [=](const std::string &id) {
             return "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n" + length + "\r\n" + errorBody;
         }},
        {"head cut",
         [=](const std::string &id) {
             return "HTTP/1.1 500 Error\r\nX-Attempt-Id: " + id + "\r\nX-Ser";
         }},
        {"success that is no stream",
         [=](const std::string &id) {
             return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + seal + length + "\r\n" + errorBody;
         }},
        {"response of another request",
         [=](const std::string &) {
             return streamHead("other", chunked) + chunk(events(7, 9)) + lastChunk;
         }},
        {"head and error in one body",
         [=](const std::string &id) {
             return streamHead(id, "") + "HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad";
         }},
    };
    for (const std::string target : {"/resumed/x", "/text/x", "/events/x"}) {
        for (const auto &answer : answers) {
            for (const connection_end how : {connection_end::closed, connection_end::reset}) {
                recover();
                scripts = {breakAfter(2, how), write(answer.bytes, how)};
                const auto caller = call("POST", target);
                CHECK_TEXT(runs > 1 || target != "/resumed/x", (answer.name + " was not reached").c_str());
                checkStream(*caller, 4, target + " " + answer.name);
                CHECK_FALSE(caller->isComplete() && caller->status() == 200);
                CHECK(caller->bytes().find("error") == std::string::npos || caller->status() != 200);
            }
        }
    }
}

// The next endpoint goes on with the stream, in each framing; what it repeats is left out, and a gap breaks the stream off.
TEST(broken_response, goesOnWithoutAGapOrARepetition)
{
    serve();
    struct
    {
        std::string name;
        std::string framing;
        std::string body;
        connection_end how;
        bool isWhole;
    } const answers[] = {
        {"rest in chunks", chunked, chunk(events(3, 4)) + lastChunk, connection_end::silent, true},
        {"rest without length", "", events(3, 4), connection_end::closed, true},
        {"rest without length, reset", "", events(3, 3), connection_end::reset, false},
        {"repeated events", chunked, chunk(events(1, 4)) + lastChunk, connection_end::silent, true},
        {"skipped event", chunked, chunk(events(4, 4)) + lastChunk, connection_end::silent, false},
        {"started over and ended early", chunked, chunk(events(1, 1)) + lastChunk, connection_end::silent, false},
        {"cut inside an event", "", events(3, 3) + "id: 4\nda", connection_end::closed, false},
    };
    for (const auto &answer : answers) {
        recover();
        scripts = {breakAfter(2, connection_end::closed), [&](scripted_connection &from, const http_request &request) {
                       from.write(streamHead(idOf(request), answer.framing) + answer.body);
                       end(from, answer.how);
                   }};
        const auto caller = call("POST", "/resumed/x");
        checkStream(*caller, 4, answer.name);
        CHECK_EQUAL_TEXT(answer.isWhole, caller->isComplete() && caller->status() == 200, answer.name.c_str());
    }
}

// The report: an endpoint stopped in the middle of its head and closed, and clients got a 200 with an empty or short body, framed as
// whole. A head is cut after each of its bytes.
TEST(broken_response, isNoSuccessAfterACutHead)
{
    serve();
    const auto whole = [](const std::string &id) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
            + "\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole";
    };
    const std::size_t length = whole("b100").size();
    for (const auto &[method, target] : std::vector<std::pair<std::string, std::string>> {
             {"GET", "/safe/x"}, {"POST", "/unsafe/x"}, {"POST", "/text/x"}, {"POST", "/resumed/x"}, {"POST", "/events/x"}}) {
        for (std::size_t cut = 0; cut < length; ++cut) {
            for (const connection_end how : {connection_end::closed, connection_end::reset}) {
                scripts = {write([&](const std::string &id) { return whole(id).substr(0, cut); }, how)};
                const auto caller = call(method, target);
                const std::string name = target + " cut after " + std::to_string(cut);
                LONGS_EQUAL_TEXT(1, countOf(caller->bytes(), "HTTP/1.1"), name.c_str());
                CHECK_TEXT(caller->status() >= 500 || !caller->isComplete(), (name + ": " + caller->bytes()).c_str());
            }
        }
    }
}

// The same with an endpoint that goes silent: the caller has its answer by its own deadline.
TEST(broken_response, isNoSuccessAfterAHeadThatStops)
{
    serve();
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nwhol";
    for (const auto &[method, target] : std::vector<std::pair<std::string, std::string>> {
             {"GET", "/safe/x"}, {"POST", "/unsafe/x"}, {"POST", "/text/x"}, {"POST", "/resumed/x"}}) {
        for (std::size_t cut = 0; cut < head.size(); cut += 7) {
            scripts = {write([&](const std::string &) { return head.substr(0, cut); }, connection_end::silent)};
            const auto caller = call(method, target, silenceTime);
            CHECK(caller->status() >= 500 || !caller->isComplete());
        }
    }
}

// An endpoint that loses the rest of a long body after a complete head.
TEST(broken_response, isNoSuccessAfterAShortBody)
{
    serve();
    for (const auto &[method, target] : std::vector<std::pair<std::string, std::string>> {{"GET", "/safe/x"}, {"POST", "/unsafe/x"}}) {
        for (const std::string &rest :
             {std::string("Content-Length: 50\r\n\r\nshort"), chunked + "\r\n" + chunk("short"), chunked + "\r\n5\r\nsh"}) {
            for (const connection_end how : {connection_end::closed, connection_end::reset}) {
                scripts = {write([&](const std::string &id) { return sealedHead(id) + rest; }, how)};
                const auto caller = call(method, target);
                CHECK(caller->status() >= 500);
            }
        }
    }
}
