#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "orders/order_actions.h"
#include "orders/order_events.h"
#include "orders/order_options.h"
#include "orders/weight_store_share.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/json/value.hpp>

namespace mustardtrail::orders
{

/// Brings the engines that this instance owns to what the configuration says, one order at a time for each engine.
class order_planner
{
public:
    order_planner(order_options options, random_source random);

    order_actions handle(const order_event &event, time_point now);
    order_actions onTick(time_point now);
    std::optional<time_point> nextWake() const;

    /// Checked by the host just before the send: view confirmed, still the owner under the same number.
    bool maySend(const send_order &action, time_point now) const;

    boost::json::value dump(time_point now) const;

private:
    enum class phase {
        idle,
        reading, ///< State of the engine itself.
        asking_others, ///< State of an engine that has to serve the model before a copy goes.
        ordering,
    };
    struct accepted_order {
        engine_order order;
        std::uint64_t incarnation = 0; ///< Of the engine.
        time_point at{};
    };
    struct engine {
        phase at = phase::idle;
        time_point wakeAt{}; ///< Next read, or time-out of the call in progress.
        int failures = 0;
        std::optional<engine_state> state; ///< Last read.
        std::optional<engine_order> order; ///< Decided or in progress.
        std::deque<backend_server_id> witnesses; ///< Still to be asked; the first is being asked.
        std::optional<accepted_order> accepted; ///< Last one.
        error_code lastFailure = error_code::none;
    };

    void on(const view_updated &event, time_point now);
    void on(const state_read &event, time_point now);
    void on(const state_failed &event, time_point now);
    void on(const order_accepted &event, time_point now);
    void on(const order_failed &event, time_point now);

    void wake(const backend_server_id &id, engine &item, time_point now);
    void read(const backend_server_id &id, engine &item, time_point now);
    void decide(const backend_server_id &id, engine &item, time_point now);
    void dispatch(const backend_server_id &id, engine &item, time_point now);
    void askOthers(engine &item, std::vector<backend_server_id> others, time_point now);
    void askNext(engine &item, time_point now);
    bool isRepeat(const engine &item, time_point now) const;
    bool payForLoad(engine &item, time_point now);
    void onWitness(const backend_server_id &witness, const engine_state &state, time_point now);
    void rest(engine &item, std::chrono::milliseconds interval, time_point now);
    void backOff(engine &item, time_point now);

    bool mayOrder(const backend_server_id &id, time_point now) const;
    std::optional<time_point> orderableAt(const backend_server_id &id) const;
    const membership::backend_assignment *assignmentOf(const backend_server_id &id) const;

    order_options m_options;
    random_source m_random;
    weight_store_share m_weights;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::map<backend_server_id, engine> m_engines;
    order_actions m_actions;
};

} // namespace mustardtrail::orders
