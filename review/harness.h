#pragma once

// Stand-ins of the users' platform (store, engines, plain endpoints, clients, load balancer) for the cases of this review, and the record
// of what they see. Blocking sockets with one thread per connection; everything listens on 127.0.0.1 on ports that the kernel chooses.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using json = nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Unix milliseconds, for the field `born` of an endpoint's entry.
inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt, one line for each event, with the seconds since the start.
class recorder
{
public:
    explicit recorder(const std::string &file)
        : m_file(file)
        , m_start(steady::now())
    {
    }

    void write(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f s  ", seconds());
        m_file << stamp << text << std::endl;
        std::printf("%s%s\n", stamp, text.c_str());
        std::fflush(stdout);
    }

    double seconds() const
    {
        return std::chrono::duration<double>(steady::now() - m_start).count();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start;
};

/// Header fields in their order; names compare without case.
struct fields
{
    std::vector<std::pair<std::string, std::string>> list;

    std::string value(std::string_view name) const
    {
        for (const auto &[known, text] : list) {
            if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0) {
                return text;
            }
        }
        return {};
    }

    bool has(std::string_view name) const
    {
        return std::any_of(list.begin(), list.end(), [&](const auto &field) {
            return field.first.size() == name.size() && strncasecmp(field.first.data(), name.data(), name.size()) == 0;
        });
    }
};

struct message
{
    /// Request line or status line.
    std::string start;
    fields headers;
    std::string body;
    /// The body ended as its framing says.
    bool isWhole = false;
    bool hasHead = false;

    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }

    std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
    }

    std::string path() const
    {
        const std::string whole = target();
        return whole.substr(0, whole.find('?'));
    }

    std::string query(const std::string &name) const
    {
        const std::string whole = target();
        std::size_t at = whole.find('?');
        while (at != std::string::npos) {
            const std::size_t end = whole.find('&', at + 1);
            const std::string pair = whole.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }

    int status() const
    {
        const auto space = start.find(' ');
        return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
    }
};

/// A connected socket with a buffer of what was received and not parsed yet.
class channel
{
public:
    explicit channel(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~channel()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
    }

    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Appends what arrives to the buffer. False at the end of the connection, at a reset or after the deadline.
    bool receive(steady::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        if (left <= 0) {
            m_hasTimedOut = true;
            return false;
        }
        pollfd waiting {m_socket, POLLIN, 0};
        const int ready = ::poll(&waiting, 1, static_cast<int>(left));
        if (ready <= 0) {
            m_hasTimedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_wasReset = count < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// True when the peer has closed or reset the connection.
    bool hasPeerEnded() const
    {
        char next = 0;
        const ssize_t count = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string &buffer()
    {
        return m_buffer;
    }

    bool hasTimedOut() const
    {
        return m_hasTimedOut;
    }

    bool wasReset() const
    {
        return m_wasReset;
    }

    /// Makes the close a reset.
    void setResetOnClose()
    {
        const linger now {1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

private:
    int m_socket;
    std::string m_buffer;
    bool m_hasTimedOut = false;
    bool m_wasReset = false;
};

inline std::string trimmed(std::string text)
{
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
        text.pop_back();
    }
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first);
}

/// Reads one message. Without a length a request has no body, and a response ends with its connection.
inline message readMessage(channel &from, bool isRequest, steady::time_point until, const std::function<void(const message &)> &onData = {})
{
    message result;
    std::string &buffer = from.buffer();
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.receive(until)) {
            return result;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::getline(head, result.start);
    result.start = trimmed(result.start);
    for (std::string line; std::getline(head, line);) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            result.headers.list.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        }
    }
    result.hasHead = true;
    if (onData) {
        onData(result);
    }
    if (strcasecmp(result.headers.value("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t line;
            while ((line = buffer.find("\r\n")) == std::string::npos) {
                if (!from.receive(until)) {
                    return result;
                }
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line + 2 + size + 2) {
                if (!from.receive(until)) {
                    return result;
                }
            }
            result.body += buffer.substr(line + 2, size);
            buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                result.isWhole = true;
                return result;
            }
            if (onData) {
                onData(result);
            }
        }
    }
    if (result.headers.has("Content-Length")) {
        const std::size_t size = std::strtoul(result.headers.value("Content-Length").c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (!from.receive(until)) {
                result.body = std::exchange(buffer, {});
                return result;
            }
        }
        result.body = buffer.substr(0, size);
        buffer.erase(0, size);
        result.isWhole = true;
        return result;
    }
    if (isRequest) {
        result.isWhole = true;
        return result;
    }
    while (from.receive(until)) { }
    result.body = std::exchange(buffer, {});
    result.isWhole = !from.wasReset() && !from.hasTimedOut();
    return result;
}

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int listenOn(int port, int &bound)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(socket, 512) != 0) {
        std::perror("listen");
        std::exit(exitNotRun);
    }
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    bound = ntohs(address.sin_port);
    return socket;
}

/// A port that is free now, for a gateway.
inline int freePort()
{
    static std::set<int> given;
    while (true) {
        int port = 0;
        ::close(listenOn(0, port));
        if (given.insert(port).second) {
            return port;
        }
    }
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Connects to a loopback port; null when it is refused or takes longer than a second.
inline std::unique_ptr<channel> connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const timeval limit {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<channel>(socket);
}

/// Accepts connections and passes each request to a handler, which answers on the channel and says whether the connection stays.
class server
{
public:
    using handler = std::function<bool(channel &, const message &)>;

    explicit server(handler onRequest, int port = 0)
        : m_onRequest(std::move(onRequest))
        , m_socket(listenOn(port, m_port))
    {
        std::thread([this] { acceptAll(); }).detach();
    }

    int port() const
    {
        return m_port;
    }

private:
    void acceptAll()
    {
        while (true) {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        channel peer(socket);
        while (true) {
            const message request = readMessage(peer, true, steady::now() + 60s);
            if (!request.isWhole || !m_onRequest(peer, request)) {
                return;
            }
        }
    }

    handler m_onRequest;
    int m_port = 0;
    int m_socket;
};

inline std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t at = 0; at < bytes; ++at) {
        text[bytes - 1 - at] = static_cast<char>(value >> (8 * at) & 0xff);
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t block = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            block = block << 8 | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : digits[block >> (18 - 6 * digit) & 63];
        }
    }
    return text;
}

/// The platform's store: keyed topics, and one consumer group whose partitions move only when their holder gives them up or falls silent.
class store
{
public:
    store()
        : m_server([this](channel &peer, const message &request) { return answer(peer, request); })
    {
    }

    int port() const
    {
        return m_server.port();
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, key, value);
    }

    void drop(const std::string &topic, const std::string &key)
    {
        put(topic, key, {});
    }

    /// While this is set, calls get no answer, and their connections stay silent for good. Connections opened later work again.
    void setSilent(bool isSilent)
    {
        m_isSilent = isSilent;
    }

private:
    struct record
    {
        std::string key;
        std::string value;
    };
    struct topic
    {
        std::vector<record> records;
        std::map<std::string, std::size_t> newest;
    };
    struct member
    {
        steady::time_point until;
        milliseconds lifetime {};
    };
    using partition = std::pair<std::string, int>;

    static constexpr int partitionsPerTopic = 12;

    void append(const std::string &name, const std::string &key, const std::string &value)
    {
        topic &named = m_topics[name];
        if (value.empty()) {
            named.newest.erase(key);
        } else {
            named.newest[key] = named.records.size();
        }
        named.records.push_back({key, value});
        m_changed.notify_all();
    }

    bool answer(channel &peer, const message &request)
    {
        if (m_isSilent) {
            while (!peer.hasPeerEnded()) {
                std::this_thread::sleep_for(10ms);
            }
            return false;
        }
        const std::string path = request.path();
        if (path == "/log-read") {
            const std::string body = read(request);
            return m_isSilent ? answer(peer, request) : peer.send(response(200, "", body));
        }
        const std::lock_guard lock(m_mutex);
        if (path == "/log-newest") {
            return peer.send(response(200, "Content-Type: application/json\r\n", newest(request).dump()));
        }
        if (path == "/log-append") {
            const auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(request.body.at(4)));
            append(request.query("topic"), request.body.substr(5, keyLength), request.body.substr(5 + keyLength));
            const std::size_t end = m_topics[request.query("topic")].records.size();
            return peer.send(response(200, "Content-Type: application/json\r\n", json {{"offset", end - 1}, {"end", end}}.dump()));
        }
        if (path == "/log-join") {
            return peer.send(response(200, "Content-Type: application/json\r\n", join(json::parse(request.body)).dump()));
        }
        if (path == "/log-leave") {
            m_members.erase(json::parse(request.body)["member"].get<std::string>());
            assign();
            return peer.send(response(200, "Content-Type: application/json\r\n", "{}"));
        }
        if (path == "/log-owners") {
            json rows = json::array();
            for (const auto &[part, holder] : m_holders) {
                if (!holder.empty()) {
                    rows.push_back({part.first, part.second, holder, 0});
                }
            }
            return peer.send(response(200, "Content-Type: application/json\r\n", json {{"parts", rows}}.dump()));
        }
        return peer.send(response(404, "", ""));
    }

    json newest(const message &request)
    {
        const topic &named = m_topics[request.query("topic")];
        json items = json::array();
        for (const auto &[key, offset] : named.newest) {
            items.push_back({{"key", key}, {"value", base64(named.records[offset].value)}, {"offset", offset}});
        }
        return {{"items", items}, {"more", false}, {"end", named.records.size()}};
    }

    std::string read(const message &request)
    {
        const auto from = static_cast<std::size_t>(std::atoll(request.query("from").c_str()));
        const milliseconds wait(std::atoll(request.query("wait_ms").c_str()));
        std::unique_lock lock(m_mutex);
        const std::string name = request.query("topic");
        m_changed.wait_for(lock, wait, [&] { return m_topics[name].records.size() > from; });
        const topic &named = m_topics[name];
        std::string body = bigEndian(named.records.size(), 8) + bigEndian(0, 8);
        for (std::size_t at = from; at < named.records.size(); ++at) {
            const record &one = named.records[at];
            const std::string content = static_cast<char>(one.key.size()) + one.key + one.value;
            body += bigEndian(content.size(), 4) + content;
        }
        return body;
    }

    json join(const json &call)
    {
        const std::string name = call["member"];
        const auto now = steady::now();
        for (const std::string topicName : call["topics"]) {
            for (int part = 0; part < partitionsPerTopic; ++part) {
                m_holders.try_emplace({topicName, part});
                m_wanted.try_emplace({topicName, part});
            }
        }
        for (auto at = m_members.begin(); at != m_members.end();) {
            at = at->second.until < now && at->first != name ? m_members.erase(at) : std::next(at);
        }
        const milliseconds lifetime(call["ttl_ms"].get<std::int64_t>());
        const bool isNew = m_members.count(name) == 0;
        m_members[name] = {now + lifetime, lifetime};
        if (isNew || m_assignedFor != m_members.size()) {
            assign();
        }
        if (call["generation"].get<std::int64_t>() >= m_generation) {
            // The member has seen that these are no longer listed for it.
            for (auto &[part, holder] : m_holders) {
                if (holder == name && m_wanted[part] != name) {
                    holder = m_wanted[part];
                }
            }
        }
        json rows = json::array();
        for (const auto &[part, holder] : m_holders) {
            if (holder == name && m_wanted[part] == name) {
                rows.push_back({part.first, part.second, 0});
            }
        }
        return {{"generation", m_generation}, {"ttl_ms", lifetime.count()}, {"parts", rows}};
    }

    void assign()
    {
        ++m_generation;
        m_assignedFor = m_members.size();
        std::vector<std::string> names;
        for (const auto &[name, one] : m_members) {
            names.push_back(name);
        }
        std::size_t next = 0;
        for (auto &[part, wanted] : m_wanted) {
            wanted = names.empty() ? std::string() : names[next++ % names.size()];
            std::string &holder = m_holders[part];
            if (holder.empty() || m_members.count(holder) == 0) {
                holder = wanted;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic> m_topics;
    std::map<std::string, member> m_members;
    std::size_t m_assignedFor = 0;
    std::map<partition, std::string> m_holders;
    std::map<partition, std::string> m_wanted;
    std::int64_t m_generation = 0;
    std::atomic<bool> m_isSilent {false};
    server m_server;
};

/// One run of a request at an endpoint.
struct run
{
    std::string endpoint;
    std::string attempt;
    std::string kind;
    double from = 0;
    double to = 0;
    /// How the endpoint's part ended: "complete", or "cut" when the gateway closed the connection while the endpoint was at work.
    std::string end;
};

/// What all endpoints ran.
class run_list
{
public:
    std::size_t add(run one)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(one));
        return m_runs.size() - 1;
    }

    void finish(std::size_t index, double at, const std::string &end)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[index].to = at;
        m_runs[index].end = end;
    }

    std::vector<run> of(const std::string &attempt) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<run> found;
        std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(found), [&](const run &one) { return one.attempt == attempt; });
        return found;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// A model replica in the prefill or the decode stage. Reads prompts at 33 tokens a millisecond and makes an event of eight tokens every
/// eventTime; the number of tokens of a stream is the output limit that its request names.
class engine
{
public:
    engine(std::string id, std::string stage, recorder &record, run_list &runs, milliseconds eventTime)
        : m_id(std::move(id))
        , m_stage(std::move(stage))
        , m_record(record)
        , m_runs(runs)
        , m_eventTime(eventTime)
        , m_born(unixMilliseconds())
        , m_server([this](channel &peer, const message &request) { return answer(peer, request); })
    {
    }

    const std::string &id() const
    {
        return m_id;
    }

    int port() const
    {
        return m_server.port();
    }

    std::string entry(const std::string &service, const std::string &zone) const
    {
        return json {{"service", service},
                     {"address", addressOf(port())},
                     {"zone", zone},
                     {"version", "v1"},
                     {"slots", 64},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"stage", m_stage},
                     {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                     {"born", m_born},
                     {"sequence", 1}}
            .dump();
    }

private:
    bool answer(channel &peer, const message &request)
    {
        const std::string json_ = "Content-Type: application/json\r\n";
        const std::string attempt = request.headers.value("X-Attempt-Id");
        const std::string echo = attempt.empty() ? std::string() : "X-Attempt-Id: " + attempt + "\r\n";
        const std::string expected = request.headers.value("X-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            return peer.send(response(421, echo + "X-Instance-Id: " + m_id + "\r\nX-Not-Executed: 1\r\n", ""));
        }
        if (request.path() == "/report") {
            return peer.send(response(200, json_, json {{"stage", m_stage}, {"busy", false}, {"sequence", 0}}.dump()));
        }
        if (request.path() == "/order") {
            return peer.send(response(200, json_, "{}"));
        }
        if (request.path() == "/hold-take") {
            return peer.send(response(200, json_, json {{"hold", newId("hold")}}.dump()));
        }
        if (request.method() == "DELETE") {
            return peer.send(response(200, "", ""));
        }
        const bool isPrefill = request.headers.value("X-Stage") == "prefill";
        if (isPrefill != (m_stage == "prefill")) {
            return peer.send(response(421, echo + "X-Instance-Id: " + m_id + "\r\nX-Not-Executed: 1\r\n", ""));
        }
        const std::string counts = request.headers.value("X-Token-Counts");
        const int promptTokens = std::atoi(counts.c_str());
        if (isPrefill) {
            std::this_thread::sleep_for(milliseconds(promptTokens / 33));
            return peer.send(
                response(200, json_ + echo, json {{"kv_handle", newId("kv")}, {"tokens", promptTokens}, {"version", 1}}.dump()));
        }
        return stream(peer, attempt, echo, std::atoi(counts.substr(counts.find(',') + 1).c_str()));
    }

    bool stream(channel &peer, const std::string &attempt, const std::string &echo, int tokens)
    {
        const int events = std::max(tokens / tokensPerEvent, 1);
        const std::size_t index = m_runs.add({m_id, attempt, "stream", m_record.seconds(), 0, ""});
        m_record.write("engine " + m_id + " runs " + attempt + ", " + std::to_string(events) + " events");
        bool isOpen = peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo
                                + "X-Server-Seal: seal-" + m_id + "-" + attempt + "\r\n\r\n");
        for (int number = 1; isOpen && number <= events; ++number) {
            std::this_thread::sleep_for(m_eventTime);
            const std::string event = "id: " + std::to_string(number) + "\ndata: " + attempt + "/" + std::to_string(number) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            isOpen = !peer.hasPeerEnded() && peer.send(size + event + "\r\n");
        }
        isOpen = isOpen && peer.send("0\r\n\r\n");
        m_runs.finish(index, m_record.seconds(), isOpen ? "complete" : "cut");
        m_record.write("engine " + m_id + " ends " + attempt + ": "
                       + (isOpen ? "complete" : "its connection was closed while it was at work"));
        return isOpen;
    }

    std::string newId(const std::string &prefix)
    {
        return prefix + "-" + m_id + "-" + std::to_string(++m_lastId);
    }

    static constexpr int tokensPerEvent = 8;

    std::string m_id;
    std::string m_stage;
    recorder &m_record;
    run_list &m_runs;
    milliseconds m_eventTime;
    std::int64_t m_born;
    std::atomic<int> m_lastId {0};
    server m_server;
};

/// A replica of a plain service: works on as many requests at once as it has slots, and queues the others. Sends a body of its own, which
/// names the request, with its seal.
class plain_endpoint
{
public:
    plain_endpoint(std::string id, recorder &record, run_list &runs, int slots, milliseconds work)
        : m_id(std::move(id))
        , m_record(record)
        , m_runs(runs)
        , m_slots(slots)
        , m_freeSlots(slots)
        , m_work(work)
        , m_born(unixMilliseconds())
        , m_server([this](channel &peer, const message &request) { return answer(peer, request); })
    {
    }

    const std::string &id() const
    {
        return m_id;
    }

    int port() const
    {
        return m_server.port();
    }

    std::string entry(const std::string &service, const std::string &zone) const
    {
        return json {{"service", service},
                     {"address", addressOf(port())},
                     {"zone", zone},
                     {"version", "v1"},
                     {"slots", m_slots},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"born", m_born},
                     {"sequence", 1}}
            .dump();
    }

private:
    bool answer(channel &peer, const message &request)
    {
        const std::string attempt = request.headers.value("X-Attempt-Id");
        const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
        const std::string expected = request.headers.value("X-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            return peer.send(response(421, echo + "X-Instance-Id: " + m_id + "\r\nX-Not-Executed: 1\r\n", ""));
        }
        {
            std::unique_lock lock(m_mutex);
            m_slotFreed.wait(lock, [this] { return m_freeSlots > 0; });
            --m_freeSlots;
        }
        const std::size_t index = m_runs.add({m_id, attempt, "plain", m_record.seconds(), 0, ""});
        std::this_thread::sleep_for(m_work);
        const bool isSent = peer.send(response(200, echo + "X-Server-Seal: seal-" + m_id + "-" + attempt + "\r\n", "done " + attempt));
        m_runs.finish(index, m_record.seconds(), isSent ? "complete" : "cut");
        const std::lock_guard lock(m_mutex);
        ++m_freeSlots;
        m_slotFreed.notify_one();
        return isSent;
    }

    std::string m_id;
    recorder &m_record;
    run_list &m_runs;
    int m_slots;
    int m_freeSlots;
    milliseconds m_work;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    server m_server;
};

/// A gateway as a process, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string name, std::string zone, std::string folder, int storePort)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_folder(std::move(folder))
        , m_storePort(storePort)
        , m_callers(freePort())
        , m_ready(freePort())
        , m_metrics(freePort())
        , m_peers(freePort())
    {
    }

    ~gateway()
    {
        kill();
    }

    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    void start()
    {
        const std::string settings = m_folder + "/" + m_name + ".settings";
        std::ofstream(settings) << json {
            {"instance", m_name},
            {"dataCentre", m_zone},
            {"callerAddress", addressOf(m_callers)},
            {"readinessAddress", addressOf(m_ready)},
            {"metricsAddress", addressOf(m_metrics)},
            {"storeAddress", addressOf(m_storePort)},
            {"peerAddress", addressOf(m_peers)},
            {"graceSeconds", 8},
            {"configurationWithinMs", 2000},
            {"silenceWithinMs", 3000},
            {"drainWithinMs", 2000},
            {"coldOver", 1.5},
            {"coldSlack", 5},
            {"repeatRatio", 0.2},
            {"repeatSlack", 54},
            {"quotaSlack", 190000},
            {"quotaOver", 0.1},
            {"quotaWindowSeconds", 8},
            {"quotaParts", 12},
            {"dutyTurnMs", 3000},
            {"prefillPercent", 28}}.dump(4);
        m_pid = fork();
        if (m_pid == 0) {
            // Ends with this program, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open((m_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            setenv("BURDOCKSHELF_CONFIG", settings.c_str(), 1);
            execl("target/bin/burdockshelfd", "target/bin/burdockshelfd", "--platform", static_cast<char *>(nullptr));
            _exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /// The exit status of a process that has ended; none while it runs.
    std::optional<int> status()
    {
        if (m_pid <= 0) {
            return m_status;
        }
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_status = status;
        }
        return m_status;
    }

    /// The largest resident memory that the process has had, in MB; 0 when it does not run.
    double peakMemoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; m_pid > 0 && std::getline(status, line);) {
            if (line.rfind("VmHWM:", 0) == 0) {
                return std::atof(line.c_str() + 6) / 1024.0;
            }
        }
        return 0.0;
    }

    bool isRunning() const
    {
        return m_pid > 0;
    }

    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            int status = 0;
            waitpid(m_pid, &status, 0);
            m_pid = -1;
            m_status = status;
        }
    }

    bool isReady() const
    {
        const auto peer = connectTo(m_ready);
        if (!peer || !peer->send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        return readMessage(*peer, false, steady::now() + 500ms).status() == 200;
    }

    const std::string &name() const
    {
        return m_name;
    }

    int callers() const
    {
        return m_callers;
    }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    int m_storePort;
    int m_callers;
    int m_ready;
    int m_metrics;
    int m_peers;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/// Asks the gateways of one zone once a second whether they are ready, and takes one out after two misses. New connections go to those in
/// rotation, or to all of the zone when fewer than half of them are.
class load_balancer
{
public:
    explicit load_balancer(std::vector<gateway *> gateways)
        : m_gateways(std::move(gateways))
        , m_misses(m_gateways.size(), 0)
        , m_thread([this] { probe(); })
    {
    }

    ~load_balancer()
    {
        m_isEnding = true;
        m_thread.join();
    }

    bool isInRotation(const gateway &one) const
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t at = 0; at < m_gateways.size(); ++at) {
            if (m_gateways[at] == &one) {
                return m_misses[at] < 2;
            }
        }
        return false;
    }

    /// The gateway for a new connection of the client with this hash.
    gateway &choose(std::size_t hash) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<gateway *> chosen;
        for (std::size_t at = 0; at < m_gateways.size(); ++at) {
            if (m_misses[at] < 2) {
                chosen.push_back(m_gateways[at]);
            }
        }
        if (chosen.size() * 2 < m_gateways.size()) {
            chosen = m_gateways;
        }
        return *chosen[hash % chosen.size()];
    }

private:
    void probe()
    {
        while (!m_isEnding) {
            for (std::size_t at = 0; at < m_gateways.size(); ++at) {
                const bool isReady = m_gateways[at]->isReady();
                const std::lock_guard lock(m_mutex);
                m_misses[at] = isReady ? 0 : m_misses[at] + 1;
            }
            std::this_thread::sleep_for(1s);
        }
    }

    mutable std::mutex m_mutex;
    std::vector<gateway *> m_gateways;
    std::vector<int> m_misses;
    std::atomic<bool> m_isEnding {false};
    std::thread m_thread;
};

/// A temporary folder that is removed at the end; see endProgram().
class scratch_folder
{
public:
    scratch_folder()
    {
        m_path = (std::filesystem::temp_directory_path() / "burdockshelf-review-XXXXXX").string();
        if (mkdtemp(m_path.data()) == nullptr) {
            std::perror("mkdtemp");
            std::exit(exitNotRun);
        }
    }

    ~scratch_folder()
    {
        remove();
    }

    void remove() const
    {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/// Ends all gateways and the program. The threads of the stand-ins still run, so nothing that they use is destroyed.
[[noreturn]] inline void endProgram(int status, std::vector<std::unique_ptr<gateway>> &gateways, const scratch_folder &scratch)
{
    for (const auto &one : gateways) {
        one->kill();
    }
    scratch.remove();
    std::fflush(stdout);
    std::_Exit(status);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline bool waitFor(milliseconds limit, const std::function<bool()> &condition)
{
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace review
