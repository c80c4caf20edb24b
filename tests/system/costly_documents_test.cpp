// Endpoints and a store that send documents which cost many times their size once parsed, to one gateway process.

#include "fault_play.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

TEST_GROUP(costly_documents)
{
    fault_play calls;
};

// One body of two megabytes of opening brackets ended a gateway of 110 MB (review, case 10), and so did a flat list.
TEST(costly_documents, forReservations)
{
    calls.play(costlyDocuments(), &isReservation, "POST", "/text/x");
}

TEST(costly_documents, forPrefills)
{
    calls.play(costlyDocuments(), &isPrefill, "POST", "/text/x");
}

TEST(costly_documents, forPagesAndAssignments)
{
    static const faulty_response gone = {"records gone", "HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}", ""};
    static const std::vector<faulty_response> pages = {
        costlyDocument("nested arrays", R"({"items":[],"end":1,"parts":[],"generation":1,"more":)", "[", ""),
        costlyDocument("zeros", R"({"items":[],"end":1,"parts":[],"generation":1,"more":[0)", ",0", "]}"),
        costlyDocument("empty items", R"({"end":1,"parts":[],"generation":1,"items":[0)", ",{}", "]}"),
        costlyDocument("empty rows", R"({"end":1,"items":[],"generation":1,"parts":[0)", ",[]", "]}"),
    };
    endless_site &site = calls.site();
    CHECK_TRUE(site.start());
    fault_series series(pages);
    site.setFaults(nullptr, [&](const http_request &request) -> const faulty_response * {
        if (request.path() == "/log-read") {
            return &gone;
        }
        return request.path() == "/log-append" ? nullptr : series.next();
    });
    CHECK_TRUE(site.waitFor([&] { return site.sentFaults().size() == pages.size() + 1 && site.sentFaults().at("empty rows") >= 3; }));
    site.setFaults(nullptr, nullptr);
    site.checkItStands();
}

//  A record may be as short as its length field, and takes a hundred bytes once decoded.
TEST(costly_documents, forBatchesOfRecords)
{
    static const faulty_response batch = {
        "empty records", "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + std::string(3'000'000, '\0'), ""};
    endless_site &site = calls.site();
    CHECK_TRUE(site.start());
    site.setFaults(nullptr, [&](const http_request &request) { return request.path() == "/log-read" ? &batch : nullptr; });
    CHECK_TRUE(site.waitFor([&] { return site.sentFaults().contains("empty records") && site.sentFaults().at("empty records") >= 5; }));
    site.setFaults(nullptr, nullptr);
    site.checkItStands();
}

// Engines are asked for their state before they are ordered to change their stage.
TEST_GROUP(costly_documents_of_engines)
{
    fault_play calls {90};
};

TEST(costly_documents_of_engines, forLoadReports)
{
    calls.playOwnCalls({costlyDocuments().at(0), costlyDocuments().at(1), costlyDocuments().at(2), costlyDocuments().at(4)}, "/report");
}
