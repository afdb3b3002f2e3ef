#include "node/tests/fleet.h"

#include "testing/expect.h"
#include "testing/golden_file.h"

using namespace mustardtrail;
using namespace mustardtrail::node::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seed = 1;

request::caller_request makeRequest(const char *id, const char *workClass, token_count promptTokens)
{
    request::caller_request made;
    made.id = request_id(id);
    made.customer = customer_id("c1");
    made.workClass = class_id(workClass);
    made.model = model_id("pay");
    made.promptTokens = promptTokens;
    made.maxNewTokens = 16;
    return made;
}

request::caller_request makeDeposit(const char *id, const char *key)
{
    request::caller_request made = makeRequest(id, "deposit", 0);
    made.model = model_id();
    made.service = service_id("counter");
    made.idempotencyKey = key;
    made.fingerprint = 1;
    return made;
}

void pass(fleet &session, std::chrono::milliseconds time)
{
    session.time().runUntil(session.time().now() + time);
}

void expectGolden(const char *name, fleet &session)
{
    std::string actual;
    for (const std::string &line : session.trace().log) {
        actual += line + "\n";
    }
    testing::expectGolden(std::filesystem::path(MT_NODE_GOLDEN) / (std::string(name) + ".txt"), actual);
    session.finish();
    for (const std::string &violation : violations(session.trace())) {
        testing::expectEqual(violation, std::string());
    }
}

bool isComplete(fleet &session, const char *id)
{
    const traced_request &request = session.trace().requests.at(request_id(id));
    return request.finals.size() == 1 && !request.finals.front().failure;
}

} // namespace

// The engine restarts in the middle of an answer; the rest of it comes from another one.
Test(golden, answerGoesOnAfterItsEngineRestarted)
{
    fleet session(seed);
    pass(session, 500ms);
    session.record();
    session.send(0, makeRequest("r1", "review", 1000));
    pass(session, 60ms);
    session.backend("g1").restart();
    pass(session, 400ms);
    expectGolden("engine_restarts", session);
    cr_assert(isComplete(session, "r1"));
}

// The answer to a deposit is lost after it ran; the caller's second try is told so and does not run.
Test(golden, depositSentAgainElsewhereRunsOnce)
{
    fleet session(seed);
    pass(session, 500ms);
    session.record();
    session.backend("s1").setMood(backend_mood::drops_after_run);
    session.backend("s2").setMood(backend_mood::drops_after_run);
    session.send(0, makeDeposit("r1", "k1"));
    pass(session, 200ms);
    session.backend("s1").setMood(backend_mood::serves);
    session.backend("s2").setMood(backend_mood::serves);
    session.send(2, makeDeposit("r2", "k1"));
    pass(session, 200ms);
    testing::expectEqual(session.trace().runs.size(), 1U);
    expectGolden("deposit_again", session);
}

Test(golden, promptBeyondOneEngineUsesAGroup)
{
    fleet session(seed);
    pass(session, 500ms);
    session.record();
    session.send(0, makeRequest("r1", "history", 60'000));
    pass(session, 3000ms);
    expectGolden("group", session);
    cr_assert(isComplete(session, "r1"));
}
