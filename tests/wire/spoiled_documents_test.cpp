#include "wire/completion_codec.h"
#include "wire/engine_codec.h"
#include "wire/json_reader.h"
#include "wire/peer_codec.h"
#include "wire/platform_codec.h"
#include "wire/record_codec.h"

#include "support/spoiled_json.h"

using namespace burdockshelf;

// Guards against bodies that cost many times their size once parsed; see the tests of the same name for the users' platform.
TEST_GROUP(spoiled_documents) {};

TEST(spoiled_documents, ofEnginesAreCheap)
{
    checkSpoiledDocumentsAreCheap(R"({"choices":[{"text":"x"}])",
                                  [](const std::string &text) { static_cast<void>(engine_codec::readEvent(text)); });
    checkSpoiledDocumentsAreCheap(R"({"kv_transfer_params":{})",
                                  [](const std::string &text) { static_cast<void>(engine_codec::readPrefill(text)); });
    checkSpoiledDocumentsAreCheap(R"({"used":3,"total":20,"incarnation":"i1","kv_blocks":5)",
                                  [](const std::string &text) { static_cast<void>(engine_codec::readLoad(endpoint_id("e"), text)); });
}

TEST(spoiled_documents, ofThePlatformAreCheap)
{
    checkSpoiledDocumentsAreCheap(R"({"first":0,"head":0,"records":[])",
                                  [](const std::string &text) { static_cast<void>(decodeLogPage(text)); });
    checkSpoiledDocumentsAreCheap(R"({"offset":1)", [](const std::string &text) { static_cast<void>(decodeAppendResponse(text)); });
    checkSpoiledDocumentsAreCheap(R"({"instances":[])", [](const std::string &text) { static_cast<void>(decodeInstanceList(text)); });
}

TEST(spoiled_documents, ofPeersAreCheap)
{
    const peer_codec codec(makeRecordCodecTable(), messageLimits);
    for (const char *kind : {"pool_answer", "records_answer", "acknowledgement", "record_relay"}) {
        checkSpoiledDocumentsAreCheap(R"({"k":true)", [&](const std::string &text) { static_cast<void>(codec.decode(kind, text)); });
    }
    checkSpoiledDocumentsAreCheap(R"({"i":"a","n":"b","d":"z")",
                                  [&](const std::string &text) { static_cast<void>(codec.decodeHello(text)); });
}

TEST(spoiled_documents, ofCallersAreCheap)
{
    // The largest body of a caller, 4 MB, may take eight times its size.
    constexpr std::int64_t maxPromptMemoryKb = 32 * 1024;
    checkSpoiledDocumentsAreCheap(R"({"model":"m","prompt":"p")",
                                  [](const std::string &text) { static_cast<void>(decodeModelRequest(false, text)); },
                                  maxPromptMemoryKb);
}
