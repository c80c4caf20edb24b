// Stand-ins and helpers of the cases of the second review: the platform's store, replicas, a gateway process and clients, all on loopback.
// Header only, without dependencies besides POSIX and the C++ library. Each connection is served by a thread of its own.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

// "On a tenth of the machines in use (two at least) processes end by themselves three times in the day".
constexpr int machinesToEnd = 2;
constexpr int endsOfEach = 3;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

inline steady::time_point processStart()
{
    static const steady::time_point start = steady::now();
    return start;
}

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - processStart()).count();
}

/// Writes timestamped lines to record.txt in the folder of the case.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        processStart();
    }

    void write(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%9.3f  %s\n", seconds(), text);
            std::fflush(m_file);
        }
        std::printf("%9.3f  %s\n", seconds(), text);
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

/// False when TROUBLE=0: everything is done but the disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline sockaddr_in loopback(int port, const std::string &ip = "127.0.0.1")
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int portOf(int socket)
{
    sockaddr_in address = {};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// A port that was free a moment ago, below those that the kernel gives to connections: a client must not get the port of a gateway that is
/// being started again.
inline int freePort()
{
    constexpr int firstPort = 12000;
    constexpr int portCount = 18000;
    static int next = static_cast<int>(getpid()) * 16 % portCount;
    while (true) {
        next = (next + 1) % portCount;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(firstPort + next);
        const bool isFree = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(socket);
        if (isFree) {
            return firstPort + next;
        }
    }
}

struct message
{
    /// Request line or status line.
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &lowerName) const
    {
        const auto found = headers.find(lowerName);
        return found == headers.end() ? std::string() : found->second;
    }

    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }

    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }

    int status() const
    {
        const auto from = start.find(' ');
        return from == std::string::npos ? 0 : std::atoi(start.c_str() + from + 1);
    }
};

/// A connected socket with a receive buffer.
class connection
{
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~connection()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
    }

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> open(int port, std::chrono::milliseconds limit = 2000ms, const std::string &from = "127.0.0.1")
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (socket < 0) {
            return nullptr;
        }
        const sockaddr_in own = loopback(0, from);
        bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof own);
        const sockaddr_in address = loopback(port);
        fcntl(socket, F_SETFL, O_NONBLOCK);
        if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            pollfd ready = {socket, POLLOUT, 0};
            int failure = 0;
            socklen_t size = sizeof failure;
            if (errno != EINPROGRESS || poll(&ready, 1, static_cast<int>(limit.count())) <= 0
                || getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
                close(socket);
                return nullptr;
            }
        }
        fcntl(socket, F_SETFL, 0);
        return std::make_unique<connection>(socket);
    }

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

    /// Reads more bytes; false at the end of the connection or of the time.
    bool fill(steady::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
        pollfd ready = {m_socket, POLLIN, 0};
        if (left <= 0 || poll(&ready, 1, static_cast<int>(std::min<long>(left, 600000))) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Reads a head; nothing when the connection or the time ends before.
    std::optional<message> readHead(steady::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message read;
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, read.start);
        while (!read.start.empty() && read.start.back() == '\r') {
            read.start.pop_back();
        }
        while (std::getline(lines, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
            const auto from = line.find_first_not_of(' ', colon + 1);
            read.headers[name] = from == std::string::npos ? std::string() : line.substr(from);
        }
        return read;
    }

    bool readBody(message &of, steady::time_point until)
    {
        if (of.header("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(until)) {
                        return false;
                    }
                }
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                while (m_buffer.size() < end + 2 + size + 2) {
                    if (!fill(until)) {
                        of.body += m_buffer.substr(std::min(end + 2, m_buffer.size()));
                        m_buffer.clear();
                        return false;
                    }
                }
                of.body += m_buffer.substr(end + 2, size);
                m_buffer.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::size_t length = std::strtoul(of.header("content-length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(until)) {
                return false;
            }
        }
        of.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    std::optional<message> readMessage(steady::time_point until)
    {
        auto read = readHead(until);
        return read && readBody(*read, until) ? read : std::nullopt;
    }

    int socket() const
    {
        return m_socket;
    }

private:
    int m_socket;
    std::string m_buffer;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a port that the kernel chooses and serves each in a thread until the handler returns false.
class server
{
public:
    using handler = std::function<bool(connection &, message &)>;

    explicit server(handler onRequest, const std::string &ip = "127.0.0.1")
        : m_handler(std::move(onRequest))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(0, ip);
        bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        listen(m_listener, 1024);
        m_port = portOf(m_listener);
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
            const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                std::this_thread::sleep_for(5ms);
                continue;
            }
            std::thread([this, socket] {
                connection from(socket);
                while (auto request = from.readMessage(steady::now() + 300s)) {
                    if (!m_handler(from, *request)) {
                        return;
                    }
                }
            }).detach();
        }
    }

    handler m_handler;
    int m_listener;
    int m_port = 0;
};

inline std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += at + i <= bytes.size() ? letters[group >> (18 - 6 * i) & 63] : '=';
        }
    }
    return text;
}

/// The platform's store, as far as a gateway calls it: keyed topics and one consumer group.
class store
{
public:
    store()
        : m_server([this](connection &to, message &request) { return handle(to, request); })
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

private:
    struct entry
    {
        std::string key;
        std::string value;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto from = target.find(name + "=");
        return from == std::string::npos ? std::string()
                                         : target.substr(from + name.size() + 1, target.find('&', from) - from - name.size() - 1);
    }

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int at = bytes - 1; at >= 0; --at) {
            text += static_cast<char>(value >> (8 * at) & 255);
        }
        return text;
    }

    void append(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

    bool handle(connection &to, message &request)
    {
        const std::string target = request.target();
        const std::string topic = query(target, "topic");
        std::unique_lock lock(m_mutex);
        std::string body;
        std::string type = "Content-Type: application/json\r\n";
        if (target.starts_with("/log-newest")) {
            body = newest(topic, query(target, "after"));
        } else if (target.starts_with("/log-read")) {
            const std::size_t from = std::strtoul(query(target, "from").c_str(), nullptr, 10);
            const std::chrono::milliseconds wait(std::atol(query(target, "wait_ms").c_str()));
            m_changed.wait_for(lock, wait, [&] { return m_topics[topic].size() > from; });
            body = bigEndian(m_topics[topic].size(), 8) + bigEndian(0, 8);
            for (std::size_t at = from; at < m_topics[topic].size(); ++at) {
                const entry &one = m_topics[topic][at];
                const std::string content = static_cast<char>(one.key.size()) + one.key + one.value;
                body += bigEndian(content.size(), 4) + content;
            }
            type.clear();
        } else if (target.starts_with("/log-append")) {
            const auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(request.body.at(4)));
            append(topic, request.body.substr(5, keyLength), request.body.substr(5 + keyLength));
            body = "{\"offset\":" + std::to_string(m_topics[topic].size() - 1) + ",\"end\":" + std::to_string(m_topics[topic].size()) + "}";
        } else if (target.starts_with("/log-join")) {
            body = join(request.body);
        } else if (target.starts_with("/log-owners")) {
            body = owners();
        } else {
            body = "{}";
        }
        lock.unlock();
        return to.send(response(200, type, body));
    }

    std::string newest(const std::string &topic, const std::string &after)
    {
        std::map<std::string, std::size_t> last;
        const std::vector<entry> &all = m_topics[topic];
        for (std::size_t at = 0; at < all.size(); ++at) {
            last[all[at].key] = at;
        }
        std::string items;
        for (const auto &[key, at] : last) {
            if (all[at].value.empty() || (!after.empty() && key <= after)) {
                continue;
            }
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" + base64(all[at].value)
                + "\",\"offset\":" + std::to_string(at) + "}";
        }
        return "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(all.size()) + "}";
    }

    std::string join(const std::string &body)
    {
        const auto from = body.find("\"member\":\"") + 10;
        const std::string member = body.substr(from, body.find('"', from) - from);
        if (std::find(m_members.begin(), m_members.end(), member) == m_members.end()) {
            m_members.push_back(member);
            ++m_generation;
        }
        std::string rows;
        forEachPartition([&](const std::string &topic, int part, const std::string &holder) {
            if (holder == member) {
                rows += std::string(rows.empty() ? "" : ",") + "[\"" + topic + "\"," + std::to_string(part) + ",0]";
            }
        });
        return "{\"generation\":" + std::to_string(m_generation) + ",\"ttl_ms\":6000,\"parts\":[" + rows + "]}";
    }

    std::string owners()
    {
        std::string rows;
        forEachPartition([&](const std::string &topic, int part, const std::string &holder) {
            rows += std::string(rows.empty() ? "" : ",") + "[\"" + topic + "\"," + std::to_string(part) + ",\"" + holder + "\",0]";
        });
        return "{\"parts\":[" + rows + "]}";
    }

    void forEachPartition(const std::function<void(const std::string &, int, const std::string &)> &visit)
    {
        for (const std::string topic : {"engine-duty", "quota-pool"}) {
            for (int part = 0; part < 12 && !m_members.empty(); ++part) {
                visit(topic, part, m_members[static_cast<std::size_t>(part) % m_members.size()]);
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<entry>> m_topics;
    std::vector<std::string> m_members;
    int m_generation = 0;
    server m_server;
};

struct replica_plan
{
    std::string id;
    std::string service;
    /// "prefill" or "decode"; empty for replicas of plain services.
    std::string stage;
    int slots = 6;
};

/// A replica that keeps its entry in the store alive and answers with the given handler.
class replica
{
public:
    replica(store &registry, replica_plan plan, server::handler onRequest)
        : m_registry(registry)
        , m_plan(std::move(plan))
        , m_server(std::move(onRequest))
    {
        beat();
    }

    /// Writes the entry once more, as replicas do about every heartbeat_ms.
    void beat()
    {
        const std::string stage =
            m_plan.stage.empty() ? "" : ",\"stage\":\"" + m_plan.stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        m_registry.put("keyed.servers",
                       m_plan.id,
                       "{\"service\":\"" + m_plan.service + "\",\"address\":\"127.0.0.1:" + std::to_string(m_server.port())
                           + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" + std::to_string(m_plan.slots)
                           + ",\"state\":\"ready\",\"cold_left_ms\":0" + stage + ",\"sequence\":" + std::to_string(++m_sequence)
                           + ",\"born\":1700000000000}");
    }

private:
    store &m_registry;
    replica_plan m_plan;
    int m_sequence = 0;
    server m_server;
};

/// Lets replicas write their entries again and again.
class heartbeats
{
public:
    explicit heartbeats(const std::vector<std::unique_ptr<replica>> &replicas)
        : m_thread([this, &replicas] {
            while (!m_isOver) {
                std::this_thread::sleep_for(heartbeatTime);
                for (const auto &one : replicas) {
                    one->beat();
                }
            }
        })
    {
    }

    ~heartbeats()
    {
        m_isOver = true;
        m_thread.join();
    }

private:
    static constexpr auto heartbeatTime = 1200ms;

    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

struct gateway_plan
{
    std::string name = "edge-z-1";
    int memoryMb = 110;
    int maxDescriptors = 4100;
    // The bounds of the site, by default those of rampa-hat.
    int configMs = 2000;
    int contactMs = 3000;
    int drainMs = 2000;
    int budgetSlack = 56;
};

/// A gateway process, started with the command of the deploy file and settings like those of the template.
class gateway
{
public:
    gateway(const std::string &folder, int storePort, gateway_plan plan)
        : m_plan(std::move(plan))
        , m_settings(folder + "/" + m_plan.name + ".json")
        , m_log(folder + "/" + m_plan.name + ".log")
        , m_callers(freePort())
        , m_ready(freePort())
    {
        std::ofstream(m_settings) << "{\"instance\":\"" << m_plan.name
                                  << "\",\"dataCentre\":\"z\",\"callerAddress\":\"127.0.0.1:" << m_callers
                                  << "\",\"readinessAddress\":\"127.0.0.1:" << m_ready << "\",\"metricsAddress\":\"127.0.0.1:" << freePort()
                                  << "\",\"storeAddress\":\"127.0.0.1:" << storePort << "\",\"peerAddress\":\"127.0.0.1:" << freePort()
                                  << "\",\"graceSeconds\":8,\"configurationWithinMs\":" << m_plan.configMs
                                  << ",\"silenceWithinMs\":" << m_plan.contactMs << ",\"drainWithinMs\":" << m_plan.drainMs
                                  << ",\"coldOver\":1.5,\"coldSlack\":5,\"repeatRatio\":0.2,\"repeatSlack\":" << m_plan.budgetSlack
                                  << ",\"quotaSlack\":190000,"
                                     "\"quotaOver\":0.1,\"quotaWindowSeconds\":8,\"quotaParts\":12,\"dutyTurnMs\":3000,\"memoryMb\":"
                                  << m_plan.memoryMb << ",\"maxDescriptors\":" << m_plan.maxDescriptors << ",\"prefillPercent\":28}";
        start();
        m_watch = std::thread([this] { enforceMemory(); });
    }

    ~gateway()
    {
        m_isWatched = false;
        m_watch.join();
        if (!hasEnded()) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }

    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    void start()
    {
        // Closed by exec. Until then the child has the memory of this program.
        int execution[2] = {-1, -1};
        if (pipe2(execution, O_CLOEXEC) != 0) {
            return;
        }
        const pid_t started = fork();
        if (started == 0) {
            // The gateway must not outlive a case that is ended early.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("BURDOCKSHELF_CONFIG", m_settings.c_str(), 1);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl("target/bin/burdockshelfd", "target/bin/burdockshelfd", "--platform", nullptr);
            _exit(127);
        }
        close(execution[1]);
        char none = 0;
        while (read(execution[0], &none, 1) < 0 && errno == EINTR) { }
        close(execution[0]);
        m_isKilled = false;
        m_pid = started;
        m_hasEnded = false;
    }

    /// Starts the process again if the platform has killed it or it has ended by itself. Returns whether it had ended.
    bool restartIfEnded()
    {
        if (!hasEnded()) {
            return false;
        }
        ++m_ends;
        std::this_thread::sleep_for(200ms);
        start();
        return true;
    }

    int ends() const
    {
        return m_ends;
    }

    /// The highest peak of the resident memory of all its processes, in KB.
    long highestPeakKb() const
    {
        return m_highestPeakKb;
    }

    bool waitUntilReady(std::chrono::seconds limit = 20s)
    {
        const auto until = steady::now() + limit;
        while (steady::now() < until && !hasEnded()) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    bool isReady(std::chrono::milliseconds limit = 1000ms) const
    {
        const auto to = connection::open(m_ready, limit);
        if (!to || !to->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        const auto answer = to->readMessage(steady::now() + limit);
        return answer && answer->status() == 200;
    }

    bool hasEnded()
    {
        if (!m_hasEnded && waitpid(m_pid, nullptr, m_isKilled ? 0 : WNOHANG) == m_pid) {
            m_hasEnded = true;
        }
        return m_hasEnded;
    }

    int callers() const
    {
        return m_callers;
    }

    /// A figure of /proc/PID/status in KB, such as VmHWM, the peak of the resident memory.
    long memoryKb(const std::string &name) const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid.load()) + "/status");
        for (std::string word; status >> word;) {
            if (word == name + ":") {
                long value = 0;
                status >> value;
                return value;
            }
        }
        return 0;
    }

private:
    // Kills the process as soon as it exceeds the memory of its machine, as the platform does.
    void enforceMemory()
    {
        while (m_isWatched) {
            const long peak = memoryKb("VmHWM");
            m_highestPeakKb = std::max<long>(m_highestPeakKb, peak);
            if (peak > m_plan.memoryMb * 1024L && !m_isKilled) {
                m_isKilled = true;
                kill(m_pid, SIGKILL);
            }
            std::this_thread::sleep_for(2ms);
        }
    }

    gateway_plan m_plan;
    std::string m_settings;
    std::string m_log;
    int m_callers;
    int m_ready;
    std::atomic<pid_t> m_pid = -1;
    std::atomic<bool> m_isWatched = true;
    std::atomic<bool> m_isKilled = false;
    std::atomic<long> m_highestPeakKb = 0;
    int m_ends = 0;
    std::thread m_watch;
    std::atomic<bool> m_hasEnded = false;
};

/// A temporary folder.
class scratch_folder
{
public:
    scratch_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        m_path = mkdtemp(name);
    }

    /// The cases end without destructors, because the threads of their stand-ins go on until then.
    void remove() const
    {
        const std::string command = "rm -rf '" + m_path + "'";
        if (std::system(command.c_str()) != 0) {
            std::fprintf(stderr, "cannot remove %s\n", m_path.c_str());
        }
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace review
