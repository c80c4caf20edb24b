// Stand-in for a plain HTTP service. Counts its executions per idempotency key and per path, can delay its answers and can close the
// connection after it has executed a call. Prints "listening <ip:port>" and serves until it is terminated.

#include "http/http_server.h"
#include "runtime/timer.h"

#include <deque>
#include <iostream>
#include <list>
#include <map>

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

using namespace burdockshelf;
using nlohmann::json;

namespace
{

constexpr std::size_t headersKept = 500;

struct service_settings_values
{
    std::string listen = "127.0.0.1:0";
    std::string name = "service";
    int slots = 100;
    int delay = 0;
};

class simulated_service
{
public:
    simulated_service(event_loop &loop, service_settings_values settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { receive(exchange); })
    {
    }

    outcome<socket_address> listen()
    {
        const auto wanted = socket_address::parse(m_settings.listen);
        return wanted ? m_server.listen(wanted.value()) : wanted;
    }

private:
    void receive(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::string path(exchange->request().path());
        if (path == "/load") {
            exchange->respond({200, {}, json({{"used", m_active}, {"total", m_settings.slots}, {"incarnation", incarnation()}}).dump()});
        } else if (path == "/control") {
            control(exchange);
        } else if (path == "/control/state") {
            const json state = {{"by_key", m_byKey}, {"by_path", m_byPath}, {"headers", m_headers}, {"active", m_active}};
            exchange->respond({200, {{"Content-Type", "application/json"}}, state.dump()});
        } else if (m_isRefusing) {
            exchange->respond({503, {}, "refused"});
        } else {
            execute(exchange, path);
        }
    }

    void control(const std::shared_ptr<http_exchange> &exchange)
    {
        const json body = json::parse(exchange->request().body, nullptr, false);
        if (!body.is_object()) {
            exchange->respond({400, {}, {}});
            return;
        }
        m_settings.delay = body.value("delay_ms", m_settings.delay);
        m_closeNext = body.value("close_after_executing", m_closeNext);
        m_isRefusing = body.value("refuse", m_isRefusing);
        m_starts += body.value("restart", false) ? 1 : 0;
        exchange->respond({200, {}, "{}"});
    }

    void execute(const std::shared_ptr<http_exchange> &exchange, const std::string &path)
    {
        json fields = json::object();
        for (const http_header &field : exchange->request().headers.fields()) {
            fields[field.name] = field.value;
        }
        m_headers.push_back({{"target", exchange->request().target}, {"headers", fields}});
        if (m_headers.size() > headersKept) {
            m_headers.pop_front();
        }
        const std::string key(exchange->request().headers.value("Idempotency-Key"));
        const int execution = key.empty() ? m_byPath[path] + 1 : ++m_byKey[key];
        ++m_byPath[path];
        if (m_closeNext > 0) {
            --m_closeNext;
            exchange->abort();
            return;
        }
        const json answer = {
            {"service", m_settings.name}, {"path", path}, {"key", key}, {"execution", execution}, {"body", exchange->request().body}};
        ++m_active;
        const auto done = m_timers.emplace(m_timers.end());
        *done = std::make_unique<timer>(m_loop, [this, exchange, done, text = answer.dump()] {
            --m_active;
            exchange->respond({200, {{"Content-Type", "application/json"}}, text});
            m_finished = std::move(*done);
            m_timers.erase(done);
        });
        (*done)->start(deadline::after(boot_clock::now(), std::chrono::milliseconds(m_settings.delay)));
    }

    std::string incarnation() const
    {
        return m_settings.name + "-" + std::to_string(m_starts);
    }

    event_loop &m_loop;
    service_settings_values m_settings;
    http_server m_server;
    std::list<std::unique_ptr<timer>> m_timers;
    // The timer whose callback runs must outlive it.
    std::unique_ptr<timer> m_finished;
    std::map<std::string, int> m_byKey;
    std::map<std::string, int> m_byPath;
    std::deque<json> m_headers;
    int m_active = 0;
    int m_closeNext = 0;
    int m_starts = 1;
    bool m_isRefusing = false;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    service_settings_values settings;
    po::options_description options;
    options.add_options()("listen", po::value(&settings.listen))("name", po::value(&settings.name));
    options.add_options()("slots", po::value(&settings.slots))("delay-ms", po::value(&settings.delay));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    event_loop loop;
    simulated_service service(loop, settings);
    const auto bound = service.listen();
    if (!bound) {
        std::cerr << bound.error() << std::endl;
        return 1;
    }
    std::cout << "listening " << bound.value() << std::endl;
    loop.run();
    return 0;
}
