#pragma once

#include "burdockshelfctl/burn_row.h"
#include "core/socket_address.h"

#include <map>
#include <string>
#include <vector>

namespace burdockshelf
{

/// An instance whose rows are missing from a report, and why.
struct missing_instance
{
    socket_address server;
    error cause;
};

/// The burn of the whole fleet: the rows of all instances, merged by addition.
class burn_report
{
public:
    /// Adds a row of one instance. Where instances state different objectives while a change spreads, the stricter one counts.
    void add(const burn_row &row);
    void addMissing(missing_instance instance);

    const std::map<burn_subject, burn_row> &rows() const;
    const std::vector<missing_instance> &missing() const;

private:
    std::map<burn_subject, burn_row> m_rows;
    std::vector<missing_instance> m_missing;
};

std::string burnText(const burn_report &report);
std::string burnJson(const burn_report &report);

} // namespace burdockshelf
