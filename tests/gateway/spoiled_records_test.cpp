#include "gateway/crash_report_codec.h"
#include "gateway/member_codec.h"
#include "gateway/rollout_codec.h"

#include "support/spoiled_json.h"

using namespace burdockshelf;

// Guards against records of other instances that cost many times their size once parsed.
TEST_GROUP(spoiled_records) {};

TEST(spoiled_records, ofMembersAreCheap)
{
    checkSpoiledDocumentsAreCheap(R"({"incarnation":"i","sequence":1)",
                                  [](const std::string &text) { static_cast<void>(decodeMemberReport(text)); });
}

TEST(spoiled_records, ofCrashesAndRolloutsAreCheap)
{
    checkSpoiledDocumentsAreCheap(R"({"crashes":[],"quarantined":[])",
                                  [](const std::string &text) { static_cast<void>(decodeCrashReport(text, boot_clock::now())); });
    checkSpoiledDocumentsAreCheap(R"({"rollouts":[])", [](const std::string &text) { static_cast<void>(decodeRolloutReports(text)); });
}
