#include "orders/tests/support/orders_world.h"

#include "orders/action_log.h"

#include <algorithm>

namespace mustardtrail::orders::testing
{

namespace
{

constexpr std::chrono::milliseconds stepLength{ 100 };

} // namespace

order_options orders_world::defaults()
{
    order_options options;
    options.weightBytes = [](const loaded_model &) {
        return 1000;
    };
    return options;
}

orders_world::orders_world(int count, int ownerCount, order_options options)
    : config(group::testing::makeConfiguration(count, 1000))
{
    config.weightStoreBytesPerSecond = 1'000'000;
    std::map<backend_server_id, instance_id> shares;
    std::uint64_t next = 0;
    for (const auto &[id, server] : config.backendServers) {
        engines[id.str()].state.incarnation = 1;
        shares[id] = instance_id(group::testing::numbered("e", next++ % static_cast<std::uint64_t>(ownerCount) + 1));
    }
    for (std::uint64_t number = 1; number <= static_cast<std::uint64_t>(ownerCount); ++number) {
        const std::string name = group::testing::numbered("e", number);
        fake_owner &owner = owners[name];
        owner.maker.self = instance_id(name);
        owner.maker.owners = shares;
        owner.planner = std::make_unique<order_planner>(options, random_source(number));
        for (const auto &[id, server] : config.backendServers) {
            owner.ownedSince[id] = testStart;
        }
    }
    publish([](config::configuration &) {});
}

void orders_world::publish(const std::function<void(config::configuration &)> &change)
{
    change(config);
    ++config.revision;
    const auto published = std::make_shared<const config::configuration>(config);
    for (auto &[name, owner] : owners) {
        owner.maker.config = published;
    }
}

void orders_world::moveOwner(const std::string &engine, const std::string &name, std::chrono::milliseconds othersLearnAfter)
{
    const backend_server_id id(engine);
    for (auto &[other, owner] : owners) {
        const auto learn = [&owner = owner, id, name, at = m_now] {
            owner.maker.owners[id] = instance_id(name);
            owner.maker.fencing[id] += 2;
            owner.ownedSince[id] = at;
        };
        m_later.emplace(m_now + (other == name ? std::chrono::milliseconds(0) : othersLearnAfter), learn);
    }
}

void orders_world::run(std::chrono::milliseconds until, const step_hook &eachStep)
{
    for (; m_now <= testStart + until; m_now += stepLength) {
        if (eachStep) {
            eachStep(elapsed());
        }
        step();
    }
}

void orders_world::step()
{
    while (!m_later.empty() && m_later.begin()->first <= m_now) {
        const auto body = m_later.begin()->second;
        m_later.erase(m_later.begin());
        body();
    }
    for (auto &[name, owner] : owners) {
        if (owner.asleepUntil > elapsed()) {
            continue;
        }
        for (const send_order &action : std::exchange(owner.held, {})) {
            send(owner, action);
        }
        perform(owner, owner.planner->handle(view_updated{ viewOf(owner) }, m_now));
        perform(owner, owner.planner->onTick(m_now));
    }
}

std::shared_ptr<const membership::fleet_view> orders_world::viewOf(const fake_owner &owner) const
{
    auto view = std::make_shared<membership::fleet_view>(*owner.maker.make(testStart + std::min(owner.confirmedUntil, elapsed())));
    for (const auto &[name, other] : owners) {
        if (instance_id(name) != view->self) {
            view->peers[instance_id(name)].id = instance_id(name);
        }
    }
    for (auto &[id, assignment] : view->backends.edit()) {
        assignment.ownedSince = owner.ownedSince.at(id);
    }
    return view;
}

std::chrono::milliseconds orders_world::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - testStart);
}

void orders_world::perform(fake_owner &owner, const order_actions &actions)
{
    for (const order_action &action : actions) {
        trace += "  " + std::to_string(elapsed().count()) + "ms " + owner.maker.self.str() + " " + logLineOf(action, m_now) + "\n";
        std::visit(
            [&](const auto &value) {
                carry(owner, value);
            },
            action);
    }
}

void orders_world::carry(fake_owner &owner, const read_state &action)
{
    const engine_state state = engines[action.backend.str()].state;
    m_later.emplace(m_now, [this, &owner, action, state] {
        perform(owner, owner.planner->handle(state_read{ action.backend, state }, m_now));
    });
}

void orders_world::carry(fake_owner &owner, const send_order &action)
{
    if (owner.asleepUntil > elapsed()) {
        owner.held.push_back(action);
        return;
    }
    send(owner, action);
}

void orders_world::send(fake_owner &owner, const send_order &action)
{
    if (checksBeforeSend && !owner.planner->maySend(action, m_now)) {
        perform(owner,
            owner.planner->handle(order_failed{ action.backend, { error_code::view_not_confirmed, verdict::not_run, {}, {} } }, m_now));
        return;
    }
    fake_engine &engine = engines[action.backend.str()];
    order_event outcome = order_accepted{ action.backend };
    if (m_random.below(100) < static_cast<std::uint64_t>(failOrdersPercent)) {
        outcome = order_failed{ action.backend, { error_code::backend_connection_lost, verdict::may_have_run, {}, {} } };
    } else if (engine.checksFencing && action.order.fencingNumber < engine.state.highestFencingNumber) {
        outcome = order_failed{ action.backend, { error_code::order_fenced_off, verdict::not_run, {}, {} } };
    } else {
        apply(engine, action.order);
    }
    m_later.emplace(m_now, [this, &owner, outcome] {
        perform(owner, owner.planner->handle(outcome, m_now));
    });
}

void orders_world::apply(fake_engine &engine, const engine_order &order)
{
    if (!engine.orders.empty() && order.fencingNumber < engine.orders.back().fencingNumber) {
        breaches += "order of an old owner after one of the new; ";
    }
    engine.orders.push_back(order);
    trace += "  " + std::to_string(elapsed().count()) + "ms taken\n";
    engine.state.highestFencingNumber = std::max(engine.state.highestFencingNumber, order.fencingNumber);
    if (order.kind == order_kind::load) {
        loadedModels += engine.state.models.insert(order.model).second ? 1 : 0;
        return;
    }
    if (order.kind == order_kind::change_role) {
        engine.state.role = order.role;
        return;
    }
    engine.state.models.erase(order.model);
    const bool wanted = std::any_of(config.backendServers.begin(), config.backendServers.end(), [&](const auto &entry) {
        return std::count(entry.second.models.begin(), entry.second.models.end(), order.model.model) > 0;
    });
    if (wanted && copies(order.model.model.str().c_str()) == 0) {
        breaches += "last copy of " + order.model.model.str() + " dropped; ";
    }
}

bool orders_world::converged() const
{
    return std::all_of(config.backendServers.begin(), config.backendServers.end(), [&](const auto &entry) {
        std::set<loaded_model> wanted;
        for (const model_id &model : entry.second.models) {
            wanted.insert({ model, entry.second.modelVersion });
        }
        return engines.at(entry.first.str()).state.models == wanted;
    });
}

int orders_world::copies(const char *model) const
{
    return static_cast<int>(std::count_if(engines.begin(), engines.end(), [&](const auto &entry) {
        return entry.second.state.serves(model_id(model));
    }));
}

} // namespace mustardtrail::orders::testing
