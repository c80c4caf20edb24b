#pragma once

#include "core/random_source.h"
#include "state/log_replay.h"

#include <vector>

/// A log of random records with few distinct ids, so that records conflict. About half of the records with a base version, sequence or
/// epoch are stale. Also holds the states and verdicts of a replay from offset 0.
class generated_log
{
public:
    static constexpr burdockshelf::record_time window {50};

    generated_log(std::uint64_t seed, std::size_t size);

    const std::vector<burdockshelf::stored_record> &records() const;
    std::vector<burdockshelf::stored_record> from(std::size_t first) const;
    /// State after the first records, by their number.
    const burdockshelf::snapshot &stateAfter(std::size_t count) const;
    const std::vector<burdockshelf::record_verdict> &verdicts() const;
    /// True when a reader that gets only the records from this offset on can reconstruct the state.
    bool canReconstructFrom(std::size_t first) const;

private:
    burdockshelf::log_record makeRecord();
    burdockshelf::log_record makeClaimRecord();

    burdockshelf::random_source m_random;
    burdockshelf::log_replay m_replay;
    burdockshelf::record_time m_time {100};
    std::vector<burdockshelf::stored_record> m_records;
    std::vector<burdockshelf::snapshot> m_states;
    std::vector<burdockshelf::record_verdict> m_verdicts;
};
