#include "wire/record_codec_table.h"

#include "wire/record_codec.h"
#include "wire/snapshot_codec.h"

#include <utility>

namespace burdockshelf
{

record_codec_table makeRecordCodecTable()
{
    record_codec_table translator;
    translator.encodeRecord = [](const log_record &record) {
        encoded_record encoded = encodeRecord(record);
        return serialized_record {std::move(encoded.kind), std::move(encoded.body)};
    };
    translator.decodeRecord = &decodeRecord;
    translator.encodeSnapshot = &encodeSnapshot;
    translator.decodeSnapshot = &decodeSnapshot;
    return translator;
}

} // namespace burdockshelf
