#include "orders/order_planner.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::orders
{

boost::json::value order_planner::dump(time_point now) const
{
    static constexpr const char *phaseNames[] = { "idle", "reading", "asking_others", "ordering" };
    boost::json::array engines;
    for (const auto &[id, item] : m_engines) {
        boost::json::object row{
            { "backend_server", id.str() },
            { "phase", phaseNames[static_cast<int>(item.at)] },
            { "wake_in_ms", std::chrono::duration_cast<std::chrono::milliseconds>(item.wakeAt - now).count() },
            { "failures", item.failures },
            { "last_failure", item.lastFailure == error_code::none ? "" : toString(item.lastFailure) },
        };
        if (item.order) {
            row["order"] = toString(item.order->kind);
            row["model"] = item.order->model.model.str();
            row["version"] = item.order->model.version;
        }
        engines.emplace_back(std::move(row));
    }
    return boost::json::object{
        { "engines", std::move(engines) },
        { "weight_store_bytes_per_second", m_weights.bytesPerSecond() },
        { "weight_store_saved_bytes", m_weights.savedBytes() },
    };
}

} // namespace mustardtrail::orders
