#include "gateway/store_call_counter.h"

#include <array>
#include <string>
#include <utility>

namespace burdockshelf
{

store_call_counter::store_call_counter(sink<metric_batch> metrics)
    : m_metrics(std::move(metrics))
{
}

void store_call_counter::count(store_call call) const
{
    static constexpr std::array<std::string_view, 7> names = {
        "join_group", "leave_group", "read_holders", "read_newest", "read_updates", "write", "probe"};
    metric_batch batch;
    batch.counters.push_back({{"store_calls_total", {{"call", std::string(names.at(static_cast<std::size_t>(call)))}}}, 1});
    static_cast<void>(m_metrics.post(std::move(batch)));
}

} // namespace burdockshelf
