#pragma once

#include <list>
#include <map>

namespace burdockshelf
{

class caller_connection;

/// Connections that wait for their callers, in the order of their last progress. All functions take constant or logarithmic time.
class caller_waiting_list
{
public:
    /// Makes the connection the one with the newest progress.
    void touch(caller_connection &connection);
    void remove(const caller_connection &connection);
    /// Connections, the one without progress for the longest first.
    const std::list<caller_connection *> &byProgress() const;

private:
    std::list<caller_connection *> m_byProgress;
    std::map<const caller_connection *, std::list<caller_connection *>::iterator> m_positions;
};

} // namespace burdockshelf
