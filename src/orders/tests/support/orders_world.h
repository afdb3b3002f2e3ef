#pragma once

#include "group/tests/support/fleet.h"
#include "orders/order_planner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::orders::testing
{

using group::testing::testStart;

/// Engine that keeps what it is told; with `checksFencing` it refuses old numbers.
struct fake_engine {
    engine_state state;
    bool checksFencing = false;
    std::vector<engine_order> orders;
};

/// One instance's planner with its own view.
struct fake_owner {
    group::testing::view_maker maker;
    std::unique_ptr<order_planner> planner;
    std::chrono::milliseconds confirmedUntil = std::chrono::hours(10); ///< Since testStart; the view is not confirmed after.
    std::chrono::milliseconds asleepUntil{ 0 };
    std::vector<send_order> held; ///< Decided, and not sent while asleep.
    std::map<backend_server_id, time_point> ownedSince;
};

/// Engines of one data centre and the instances that own them, stepped in tenths of a second.
class orders_world
{
public:
    using step_hook = std::function<void(std::chrono::milliseconds)>;

    orders_world(int engines, int owners, order_options options = defaults());

    static order_options defaults();

    void run(std::chrono::milliseconds until, const step_hook &eachStep = {});
    void publish(const std::function<void(config::configuration &)> &change);
    /// Instance `name` takes the engine over; the others learn of it later.
    void moveOwner(const std::string &engine, const std::string &name, std::chrono::milliseconds othersLearnAfter);

    bool converged() const;
    /// Engines of the data centre that serve the model.
    int copies(const char *model) const;

    config::configuration config;
    std::map<std::string, fake_engine> engines;
    std::map<std::string, fake_owner> owners;
    std::string breaches;
    std::string trace; ///< One line for each action and each order that an engine took.
    int failOrdersPercent = 0;
    bool checksBeforeSend = true;
    std::int64_t loadedModels = 0;

private:
    void step();
    void perform(fake_owner &owner, const order_actions &actions);
    void carry(fake_owner &owner, const read_state &action);
    void carry(fake_owner &owner, const send_order &action);
    void send(fake_owner &owner, const send_order &action);
    void apply(fake_engine &engine, const engine_order &order);
    std::shared_ptr<const membership::fleet_view> viewOf(const fake_owner &owner) const;
    std::chrono::milliseconds elapsed() const;

    time_point m_now = testStart;
    random_source m_random{ 5 };
    std::multimap<time_point, std::function<void()>> m_later;
};

} // namespace mustardtrail::orders::testing
