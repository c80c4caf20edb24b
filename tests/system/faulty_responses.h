#pragma once

#include "http/http_message.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Something that a server sends in place of a sound response: the start once, then the piece again and again up to a fixed number of
/// bytes. A start that begins with "HEAD" begins with a sound head for the request instead, and "{id}" in it stands for the id of the
/// request.
struct faulty_response
{
    const char *name;
    std::string start;
    std::string piece;
};

/// Every place of a response that may have no end.
const std::vector<faulty_response> &endlessResponses();

/// The endless response with that name.
const faulty_response &endlessResponse(const std::string &name);

/// A whole response that costs many times its size as a JSON document: the start, the piece many times, and the end.
faulty_response costlyDocument(const char *name, const std::string &start, const std::string &piece, const std::string &end);

/// Documents with the fields of the responses to all calls of endpoints.
const std::vector<faulty_response> &costlyDocuments();

/// Gives out faults in turn. Refers to the list.
class fault_series
{
public:
    explicit fault_series(const std::vector<faulty_response> &faults);

    const faulty_response *next();

private:
    const std::vector<faulty_response> &m_faults;
    std::size_t m_next = 0;
};

/// Chooses the calls whose responses are faulty.
using call_filter = bool (*)(const http_request &);

bool isReservation(const http_request &request);
bool isPrefill(const http_request &request);
bool isRelease(const http_request &request);
/// A request of a caller that an endpoint is to run, other than the ordinary ones with which a test looks whether the gateway serves.
bool isRun(const http_request &request);

/// True for statuses that promise that a request has not run.
bool statusPromisesNotRun(int status);

/// The text as often as given.
std::string repeatedText(const std::string &text, std::size_t count);

} // namespace burdockshelf
