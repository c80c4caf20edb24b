#pragma once

#include "faulty_responses.h"
#include "gateway/raw_caller.h"
#include "http/http_client.h"
#include "site/child_process.h"
#include "soak/port_block.h"
#include "standins/users_platform/scripted_endpoint.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// One gateway process between endpoints and a store whose tests choose every byte. The gateway reads its store through a server that
/// passes calls on to the stand-in for the store.
class endless_site
{
public:
    static constexpr std::size_t chunkBytes = 0x4000;

    /// Chooses what to send for a request; nothing for a sound response.
    using fault_choice = std::function<const faulty_response *(const http_request &)>;

    /// Memory of the smallest machines, which the gateway is told as well.
    static constexpr std::int64_t machineMemoryMb = 88;

    explicit endless_site(std::int64_t prefillPercent = 0);

    /// Starts the gateway and waits until it serves; false if it does not.
    bool start();
    void setFaults(fault_choice endpoints, fault_choice storeCalls);
    /// Sets the upload handler of all endpoints, for other requests than prefills.
    void setUploadHandler(std::size_t afterBytes, const scripted_endpoint::request_handler &handler);
    /// Sends a request with an id of its own, which begins with the text.
    raw_caller &send(const std::string &method, const std::string &target, const std::string &idStart);
    /// The same with a body of that many bytes.
    raw_caller &send(const std::string &method, const std::string &target, const std::string &idStart, std::size_t bodyBytes);
    /// The same with a body in chunks of chunkBytes.
    raw_caller &sendInChunks(const std::string &method, const std::string &target, const std::string &idStart, std::size_t chunks);
    /// All callers close their connections.
    void leave();
    /// Runs the loop until the condition holds; false if that takes longer than any deadline in these tests.
    bool waitFor(const std::function<bool()> &condition);
    bool areAllAnswered() const;
    /// How often endpoints have received a request to run whose id begins with the text.
    std::size_t runCount(const std::string &idStart) const;
    bool hasRunWithIdStart(const std::string &idStart) const;
    /// True if the gateway has closed every connection on which a faulty response without an end was sent.
    bool areFaultyConnectionsClosed() const;
    /// How often each fault was sent, by name.
    const std::map<std::string, int> &sentFaults() const;
    /// Checks that the process lives, that its memory stayed within the machine, and that it answers an ordinary request.
    void checkItStands();
    bool isAnswered();

    event_loop &loop();
    standin_store &store();
    const socket_address &peerAddress() const;

private:
    raw_caller &sendFramed(const std::string &method, const std::string &target, const std::string &idStart, const std::string &framedBody);
    void publish(const scripted_endpoint &endpoint, const std::string &id, const std::string &service, const std::string &stage);
    void respond(scripted_connection &from, const http_request &request);
    void passOnToStore(scripted_connection &from, const http_request &request);
    void sendFault(scripted_connection &from, const http_request &request, const faulty_response &fault);

    event_loop m_loop;
    port_block m_ports;
    scratch_folder m_scratch;
    standin_store m_store;
    scripted_endpoint m_storeFront;
    scripted_endpoint m_plain;
    scripted_endpoint m_prefill;
    scripted_endpoint m_decode;
    http_client m_storeClient;
    timer m_pauseEnd;
    fault_choice m_endpointFaults;
    fault_choice m_storeFaults;
    std::map<std::string, int> m_sentFaults;
    std::vector<const scripted_connection *> m_endlessConnections;
    std::vector<std::string> m_runs;
    std::list<raw_caller> m_requests;
    socket_address m_callers;
    socket_address m_peers;
    std::string m_settingsFile;
    child_process m_gateway;
    int m_lastRequest = 0;
};

} // namespace burdockshelf
