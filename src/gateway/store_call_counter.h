#pragma once

#include "metrics/metric_batch.h"
#include "runtime/sink.h"

namespace burdockshelf
{

/// Kinds of calls to the platform's store, which limits their rate and charges for them.
enum class store_call
{
    join_group,
    leave_group,
    read_holders,
    read_newest,
    read_updates,
    write,
    /// A small read after a failure, which shows whether the store responds.
    probe,
};

/// Counts the calls to the platform's store in the metrics. A count that the metrics cannot take is lost.
class store_call_counter
{
public:
    store_call_counter() = default;
    explicit store_call_counter(sink<metric_batch> metrics);

    void count(store_call call) const;

private:
    sink<metric_batch> m_metrics;
};

} // namespace burdockshelf
