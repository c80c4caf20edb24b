#pragma once

#include "core/random_source.h"
#include "soak_judge.h"
#include "standins/users_platform/scripted_endpoint.h"
#include "standins/users_platform/standin_store.h"

#include <string>

namespace burdockshelf
{

/// Endpoints of the plain service that write what no endpoint should, and entries that name no endpoint. They are in the store only while
/// their fault lasts.
class faulty_endpoints
{
public:
    faulty_endpoints(event_loop &loop, standin_store &store, soak_judge &judge, random_source &random);

    /// An endpoint that writes bytes without end, in a head or a body.
    void listEndless();
    void dropEndless();
    /// An endpoint that refuses every second request, and writes the last refusal and one without an id before every other response.
    void listRepeating();
    void dropRepeating();
    /// Writes one odd entry, of a kind that the random numbers choose.
    void putOddEntry();
    void dropOddEntries();

private:
    void respondEndlessly(scripted_connection &from, const http_request &request);
    void respondWithRepeats(scripted_connection &from, const http_request &request);

    standin_store &m_store;
    soak_judge &m_judge;
    random_source &m_random;
    scripted_endpoint m_endless;
    scripted_endpoint m_repeating;
    scripted_endpoint m_unused;
    std::string m_lastRefusal;
    bool m_refusesNext = false;
    std::int64_t m_oddEntries = 0;
};

} // namespace burdockshelf
