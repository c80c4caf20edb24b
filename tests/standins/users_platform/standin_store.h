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

/// The platform's store with keyed topics and one group, on a port that the kernel chooses. Can refuse, be silent and forget its history.
class standin_store
{
public:
    enum class mood
    {
        serving,
        /// Answers 503; nothing was done.
        refusing,
        /// Takes calls and never answers them.
        silent,
    };

    explicit standin_store(event_loop &loop);

    const socket_address &address() const;
    /// A second address, which can refuse its callers while the first serves.
    const socket_address &sideAddress() const;
    void setSideRefusing(bool isRefusing);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void drop(const std::string &topic, const std::string &key);
    /// Removes all records; the newest of each key stay readable as such.
    void forgetHistory(const std::string &topic);
    void setMood(mood now);
    std::size_t callCount() const;
    /// Deals all partitions of the group to one member, by the begin of its name, from now on.
    void dealTo(const std::string &memberPrefix);

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    struct topic
    {
        std::vector<record> records;
        std::size_t firstKept = 0;
        std::map<std::string, std::size_t> newest;
    };

    struct waiting_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::string topicName;
        std::size_t from = 0;
        std::unique_ptr<timer> timeout;
    };

    void answer(const std::shared_ptr<http_exchange> &exchange);
    void answerSide(const std::shared_ptr<http_exchange> &exchange);
    void answerNewest(http_exchange &exchange);
    void answerRead(const std::shared_ptr<http_exchange> &exchange);
    void answerAppend(http_exchange &exchange);
    void answerJoin(http_exchange &exchange);
    void answerLeave(http_exchange &exchange);
    void answerOwners(http_exchange &exchange) const;
    void dealAnew();
    void append(const std::string &topicName, record fresh);
    bool tryRead(http_exchange &exchange, const std::string &topicName, std::size_t from, bool mayBeEmpty);

    event_loop &m_loop;
    http_server m_server;
    socket_address m_address;
    http_server m_side;
    socket_address m_sideAddress;
    bool m_isSideRefusing = false;
    std::map<std::string, topic> m_topics;
    std::list<waiting_read> m_waiting;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::vector<std::string> m_members;
    /// Topic and partition, and the member that holds it.
    std::map<std::pair<std::string, int>, std::string> m_parts;
    int m_generation = 0;
    std::string m_dealtTo;
    mood m_mood = mood::serving;
    std::size_t m_calls = 0;
};

} // namespace burdockshelf
