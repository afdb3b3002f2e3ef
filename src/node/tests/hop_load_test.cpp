#include "node/entry_node.h"
#include "node/tests/fleet_config.h"

#include "testing/expect.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

using namespace mustardtrail;
using namespace mustardtrail::node;
using namespace mustardtrail::node::testing;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{ 10s };

std::unique_ptr<entry_node> makeNode(const char *self)
{
    entry_options options;
    options.self = instance_id(self);
    auto made = std::make_unique<entry_node>(options);
    made->handle(view_received{ makeOwnerView(self, start) }, start);
    return made;
}

hop_attempt makeAttempt()
{
    hop_attempt attempt;
    attempt.work.attempt = attempt_id("a1");
    attempt.work.request = request_id("r1");
    attempt.work.customer = customer_id("c1");
    attempt.work.model = model_id("pay");
    attempt.work.promptTokens = 1000;
    attempt.work.maxNewTokens = 16;
    attempt.work.arrival = start;
    attempt.work.firstTokenDeadline = start + 3s;
    attempt.work.deadline = start + 5s;
    attempt.origin = instance_id("e1");
    return attempt;
}

template<typename action> std::vector<action> only(const entry_actions &actions)
{
    std::vector<action> found;
    for (const entry_action &item : actions) {
        if (const auto *matching = std::get_if<action>(&item)) {
            found.push_back(*matching);
        }
    }
    return found;
}

std::vector<reply_on_hop> repliesTo(entry_node &owner, const request::backend_event &event)
{
    return only<reply_on_hop>(owner.handle(backend_reported{ attempt_id("a1"), event }, start + 5ms));
}

bool knowsLoadOfOwner(entry_node &origin)
{
    const auto dump = origin.dump(start + 10ms);
    for (const auto &pool : dump.at("origin").at("router").at("pools").as_array()) {
        for (const auto &owner : pool.at("owners").as_array()) {
            if (pool.at("name").as_string() == "pay" && owner.at("owner").as_string() == "e2") {
                return owner.at("summary_known").as_bool();
            }
        }
    }
    return false;
}

} // namespace

Test(hop_load, firstAndLastEventOfAnAttemptCarryTheLoadOfItsPool)
{
    const auto owner = makeNode("e2");
    const auto opened = only<open_backend>(owner->handle(hop_arrived{ makeAttempt() }, start));
    mustardtrail::testing::expectEqual(opened.size(), 1U);
    const int connection = opened.front().connection;
    repliesTo(*owner, request::connection_ready{ connection });
    repliesTo(*owner, request::request_sent{ connection });
    const auto accepted = repliesTo(*owner, request::backend_accepted{ connection });
    mustardtrail::testing::expectEqual(accepted.size(), 1U);
    cr_assert(accepted.front().load.has_value());
    mustardtrail::testing::expectEqual(accepted.front().load->owner.str(), std::string("e2"));
    mustardtrail::testing::expectEqual(accepted.front().load->pools.size(), 1U);
    mustardtrail::testing::expectEqual(accepted.front().load->pools.front().pool.name, std::string("pay"));
    const auto piece = repliesTo(*owner, request::backend_chunk{ connection, 0, "x", 1 });
    mustardtrail::testing::expectEqual(piece.size(), 1U);
    cr_assert_not(piece.front().load.has_value());
    const auto finished = repliesTo(*owner, request::backend_finished{ connection, 1, "stop" });
    mustardtrail::testing::expectEqual(finished.size(), 1U);
    cr_assert(finished.front().load.has_value());
}

Test(hop_load, refusedAttemptCarriesTheLoad)
{
    const auto owner = makeNode("e2");
    hop_attempt attempt = makeAttempt();
    attempt.group = group_target{ group::engine_group_id("unknown"), backend_server_id("g1"), "digest" };
    const auto refused = only<reply_on_hop>(owner->handle(hop_arrived{ attempt }, start));
    mustardtrail::testing::expectEqual(refused.size(), 1U);
    cr_assert(refused.front().load.has_value());
}

Test(hop_load, originKnowsTheOwnersLoadAfterTheAnswer)
{
    const auto owner = makeNode("e2");
    const auto origin = makeNode("e1");
    cr_assert_not(knowsLoadOfOwner(*origin));
    hop_attempt attempt = makeAttempt();
    attempt.group = group_target{ group::engine_group_id("unknown"), backend_server_id("g1"), "digest" };
    const auto refused = only<reply_on_hop>(owner->handle(hop_arrived{ attempt }, start));
    cr_assert(refused.at(0).load.has_value());
    origin->handle(summary_received{ *refused.at(0).load }, start);
    cr_assert(knowsLoadOfOwner(*origin));
}

Test(hop_load, originKnowsTheLoadOfItsOwnEngines)
{
    const auto node = makeNode("e2");
    request::caller_request request;
    request.id = request_id("r1");
    request.customer = customer_id("c1");
    request.workClass = class_id("review");
    request.model = model_id("pay");
    request.promptTokens = 1000;
    request.maxNewTokens = 16;
    node->handle(request, start);
    cr_assert(knowsLoadOfOwner(*node));
}
