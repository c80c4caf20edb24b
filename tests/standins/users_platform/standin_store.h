#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Simulated store of the platform with keyed topics and one consumer group, on a port that the kernel chooses. Tests can make it refuse
/// requests, leave them unanswered, or discard the history of a topic.
class standin_store
{
public:
    enum class availability
    {
        serving,
        /// Responds with 503 and does not execute the request.
        refusing,
        /// Accepts requests and never responds.
        silent,
    };

    explicit standin_store(event_loop &loop);

    const socket_address &address() const;
    /// A second address, which can refuse requests while the first one serves.
    const socket_address &secondaryAddress() const;
    void setSecondaryRefusing(bool isRefusing);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void drop(const std::string &topic, const std::string &key);
    /// Discards the records of the topic's log; the newest record of each key can still be read with /log-newest.
    void discardHistory(const std::string &topic);
    void setAvailability(availability newAvailability);
    std::size_t callCount() const;
    /// From now on, assigns all partitions of the group to the member whose name starts with memberPrefix.
    void assignPartitionsTo(const std::string &memberPrefix);
    /// From now on, assigns the partitions of each topic in turn to all members, the first one to the member whose name starts with
    /// memberPrefix.
    void assignPartitionsFrom(const std::string &memberPrefix);

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    struct topic
    {
        std::vector<record> records;
        std::size_t firstOffset = 0;
        std::map<std::string, std::size_t> newest;
    };

    struct pending_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::string topicName;
        std::size_t from = 0;
        std::unique_ptr<timer> timeout;
    };

    void handleRequest(const std::shared_ptr<http_exchange> &exchange);
    void handleSecondaryRequest(const std::shared_ptr<http_exchange> &exchange);
    void respondNewest(http_exchange &exchange);
    void respondRead(const std::shared_ptr<http_exchange> &exchange);
    void respondAppend(http_exchange &exchange);
    void respondJoin(http_exchange &exchange);
    void respondLeave(http_exchange &exchange);
    void respondOwners(http_exchange &exchange) const;
    void reassignPartitions();
    void append(const std::string &topicName, record newRecord);
    bool tryRead(http_exchange &exchange, const std::string &topicName, std::size_t from, bool allowEmpty);

    event_loop &m_loop;
    http_server m_server;
    socket_address m_address;
    http_server m_secondaryServer;
    socket_address m_secondaryAddress;
    bool m_isSecondaryRefusing = false;
    std::map<std::string, topic> m_topics;
    std::list<pending_read> m_pendingReads;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::vector<std::string> m_members;
    /// Maps topic and partition to the name of the member that holds the partition.
    std::map<std::pair<std::string, int>, std::string> m_partitionOwners;
    int m_generation = 0;
    std::string m_preferredMember;
    std::string m_firstMember;
    availability m_availability = availability::serving;
    std::size_t m_calls = 0;
};

} // namespace burdockshelf
