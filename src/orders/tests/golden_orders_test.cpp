#include "group/tests/support/golden_session.h"
#include "orders/tests/support/orders_world.h"

#include "testing/expect.h"

#include <sstream>

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::group::testing::session_input;
using mustardtrail::orders::testing::orders_world;
using mustardtrail::orders::testing::testStart;

namespace
{

std::string stamp(time_point when)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(when - testStart).count()) + "ms";
}

std::string text(const read_state &action)
{
    return "  read_state backend=" + action.backend.str() + " deadline=" + stamp(action.deadline) + "\n";
}

std::string text(const send_order &action)
{
    std::ostringstream out;
    out << "  send_order backend=" << action.backend << " order=" << toString(action.order.kind) << " model=" << action.order.model.model
        << " version=" << action.order.model.version << " role=" << action.order.role << " fencing=" << action.order.fencingNumber
        << " deadline=" << stamp(action.deadline) << " not_after=" << stamp(action.notAfter) << "\n";
    return out.str();
}

/// One planner, and what the script says of views, engines and answers.
class scripted_planner
{
public:
    scripted_planner()
        : m_planner(orders_world::defaults(), random_source(3))
        , m_config(group::testing::makeConfiguration(2, 1000))
    {
        m_config.weightStoreBytesPerSecond = 1'000'000;
        m_maker.self = instance_id("e1");
        m_maker.owners[backend_server_id("g2")] = instance_id("e2");
    }

    std::string step(const session_input &input)
    {
        const time_point now = testStart + input.at;
        if (input.verb == "check") {
            return m_order && m_planner.maySend(*m_order, now) ? "  may_send=yes\n" : "  may_send=no\n";
        }
        const auto event = eventOf(input, now);
        std::string lines;
        for (const order_action &action : event ? m_planner.handle(*event, now) : m_planner.onTick(now)) {
            lines += std::visit(
                [](const auto &value) {
                    return text(value);
                },
                action);
            if (const auto *order = std::get_if<send_order>(&action)) {
                m_order = *order;
            }
        }
        return lines;
    }

private:
    std::optional<order_event> eventOf(const session_input &input, time_point now)
    {
        const backend_server_id backend(input.subject);
        const error failure{ errorCodeFromString(input.text("code")).value_or(error_code::none), verdict::may_have_run, {}, {} };
        if (input.verb == "view") {
            return viewOf(input, now);
        }
        if (input.verb == "state") {
            engine_state state;
            state.incarnation = 1;
            state.highestFencingNumber = static_cast<std::uint64_t>(input.number("highest"));
            std::istringstream models(input.text("models"));
            for (std::string model; std::getline(models, model, ',');) {
                const size_t colon = model.find(':');
                state.models.insert({ model_id(model.substr(0, colon)), model.substr(colon + 1) });
            }
            return state_read{ backend, state };
        }
        if (input.verb == "state_failed") {
            return state_failed{ backend, failure };
        }
        if (input.verb == "accepted") {
            return order_accepted{ backend };
        }
        if (input.verb == "failed") {
            return order_failed{ backend, failure };
        }
        mustardtrail::testing::expectEqual(input.verb, "tick");
        return std::nullopt;
    }

    view_updated viewOf(const session_input &input, time_point now)
    {
        config::backend_server &server = m_config.backendServers[backend_server_id("g1")];
        server.modelVersion = input.text("version", server.modelVersion);
        server.models = { model_id(input.text("model", server.models.front().str())) };
        const std::string other = input.text("other");
        if (!other.empty()) {
            m_config.backendServers[backend_server_id("g2")].models = { model_id(other) };
        }
        m_maker.config = std::make_shared<const config::configuration>(m_config);
        m_maker.fencing[backend_server_id("g1")] = static_cast<std::uint64_t>(input.number("fencing", 1));
        return { m_maker.make(now) };
    }

    order_planner m_planner;
    config::configuration m_config;
    group::testing::view_maker m_maker;
    std::optional<send_order> m_order;
};

void replay(const std::string &name)
{
    scripted_planner session;
    group::testing::replayGolden(std::string(MT_ORDERS_TESTS_DIR) + "/golden/" + name, [&](const session_input &input) {
        return session.step(input);
    });
}

} // namespace

Test(golden_orders, loadThenNewVersionThenUnload)
{
    replay("new_version.txt");
}

Test(golden_orders, lastCopyWaitsForAnother)
{
    replay("last_copy.txt");
}

Test(golden_orders, failuresFencingAndALostView)
{
    replay("failures_and_fencing.txt");
}
