#include "request/tests/fixture.h"

#include "request/backend_attempt.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::request;
using namespace mustardtrail::request::testing;
using mustardtrail::testing::expectEqual;

namespace
{

backend_attempt makeAttempt(backend_attempt::kind kind = backend_attempt::kind::engine)
{
    return backend_attempt({}, kind, attempt_id("r1.1"), backend_server_id("g1"), at(5000));
}

template<typename action> const action *find(const backend_actions &actions)
{
    for (const backend_action &entry : actions) {
        if (const action *typed = std::get_if<action>(&entry)) {
            return typed;
        }
    }
    return nullptr;
}

std::string verdictOf(const backend_actions &actions)
{
    const attempt_failed *failed = find<attempt_failed>(actions);
    return failed == nullptr ? "none" : std::string(toString(failed->failure.outcome));
}

/// Runs an attempt until its first piece was sent on.
backend_attempt makeStreaming()
{
    backend_attempt attempt = makeAttempt();
    attempt.start(at(0));
    attempt.handle(request_sent{ 1 }, at(1));
    attempt.handle(backend_accepted{ 1 }, at(2));
    attempt.handle(backend_chunk{ 1, 0, "a", 1 }, at(3));
    return attempt;
}

} // namespace

Test(backend_attempt, passesAWholeAnswerOn)
{
    backend_attempt attempt = makeAttempt();
    expectEqual(find<open_stream>(attempt.start(at(0)))->connection, 1);
    attempt.handle(connection_ready{ 1 }, at(1));
    attempt.handle(request_sent{ 1 }, at(1));
    cr_assert(find<attempt_accepted>(attempt.handle(backend_alive{ 1 }, at(2))) != nullptr);
    expectEqual(find<attempt_output>(attempt.handle(backend_chunk{ 1, 0, "a", 1 }, at(3)))->text, "a");
    cr_assert(attempt.handle(backend_chunk{ 1, 0, "a", 1 }, at(3)).empty());
    expectEqual(find<attempt_finished>(attempt.handle(backend_finished{ 1, 1, "stop" }, at(4)))->chunks, 1U);
    cr_assert(attempt.isDone());
    cr_assert(attempt.handle(connection_lost{ 1 }, at(5)).empty());
    cr_assert_not(attempt.nextWake().has_value());
}

Test(backend_attempt, notRunOnlyBeforeTheFirstByte)
{
    backend_attempt unsent = makeAttempt();
    unsent.start(at(0));
    unsent.handle(connection_ready{ 1 }, at(1));
    expectEqual(verdictOf(unsent.handle(connection_lost{ 1 }, at(2))), "not_run");
    cr_assert(unsent.isDone());
    // A reused connection that resets looks the same from here: a byte was sent.
    backend_attempt sent = makeAttempt();
    sent.start(at(0));
    sent.handle(request_sent{ 1 }, at(1));
    const auto actions = sent.handle(connection_lost{ 1 }, at(2));
    expectEqual(verdictOf(actions), "may_have_run");
    cr_assert(find<cancel_stream>(actions) != nullptr);
}

Test(backend_attempt, connectTimeoutIsNotRunAndClosesTheConnection)
{
    backend_attempt attempt = makeAttempt();
    attempt.start(at(0));
    cr_assert(attempt.nextWake() == at(250));
    cr_assert(attempt.onTick(at(249)).empty());
    const auto actions = attempt.onTick(at(250));
    expectEqual(verdictOf(actions), "not_run");
    cr_assert(find<cancel_stream>(actions) != nullptr);
}

Test(backend_attempt, believesARefusalOnlyWithItsFlag)
{
    const auto refused = [](int status, std::optional<bool> started) {
        backend_attempt attempt = makeAttempt(backend_attempt::kind::service);
        attempt.start(at(0));
        attempt.handle(request_sent{ 1 }, at(1));
        return verdictOf(attempt.handle(backend_refused{ 1, status, started, milliseconds(70) }, at(2)));
    };
    expectEqual(refused(503, false), "not_run");
    expectEqual(refused(429, false), "not_run");
    expectEqual(refused(503, std::nullopt), "may_have_run");
    expectEqual(refused(409, false), "may_have_run");
    expectEqual(refused(500, true), "ran");
}

Test(backend_attempt, doesNotBelieveARefusalAfterTheStart)
{
    backend_attempt attempt = makeStreaming();
    expectEqual(verdictOf(attempt.handle(backend_refused{ 1, 503, false, {} }, at(4))), "may_have_run");
}

Test(backend_attempt, resumesAtTheSameEngine)
{
    backend_attempt attempt = makeStreaming();
    const auto lost = attempt.handle(connection_lost{ 1 }, at(4));
    expectEqual(find<resume_stream>(lost)->from, 1U);
    expectEqual(find<resume_stream>(lost)->connection, 2);
    cr_assert(attempt.handle(backend_chunk{ 1, 1, "stale", 1 }, at(5)).empty());
    cr_assert(attempt.handle(backend_chunk{ 2, 0, "a", 1 }, at(5)).empty());
    expectEqual(find<attempt_output>(attempt.handle(backend_chunk{ 2, 1, "b", 1 }, at(6)))->sequence, 1U);
    cr_assert(find<attempt_finished>(attempt.handle(backend_finished{ 2, 2, "stop" }, at(7))) != nullptr);
}

Test(backend_attempt, givesUpAfterAFewResumes)
{
    backend_attempt attempt = makeStreaming();
    attempt.handle(connection_lost{ 1 }, at(4));
    cr_assert(attempt.handle(connection_lost{ 2 }, at(5)).empty());
    expectEqual(find<resume_stream>(attempt.onTick(at(25)))->connection, 3);
    attempt.handle(connection_lost{ 3 }, at(26));
    attempt.onTick(at(46));
    const auto actions = attempt.handle(connection_lost{ 4 }, at(47));
    expectEqual(verdictOf(actions), "may_have_run");
    cr_assert(std::holds_alternative<cancel_stream>(actions.front()));
}

Test(backend_attempt, streamUnknownToTheEngineFails)
{
    backend_attempt attempt = makeStreaming();
    attempt.handle(connection_lost{ 1 }, at(4));
    expectEqual(verdictOf(attempt.handle(backend_refused{ 2, 404, false, {} }, at(5))), "may_have_run");
}

Test(backend_attempt, truncatedAndGappyAnswersAreNotWhole)
{
    backend_attempt truncated = makeStreaming();
    const auto end = truncated.handle(backend_finished{ 1, 3, "stop" }, at(4));
    cr_assert(find<attempt_finished>(end) == nullptr);
    expectEqual(find<resume_stream>(end)->from, 1U);
    backend_attempt gappy = makeStreaming();
    const auto gap = gappy.handle(backend_chunk{ 1, 2, "c", 1 }, at(4));
    cr_assert(find<attempt_output>(gap) == nullptr);
    expectEqual(find<resume_stream>(gap)->from, 1U);
    backend_attempt service = makeAttempt(backend_attempt::kind::service);
    service.start(at(0));
    service.handle(request_sent{ 1 }, at(1));
    expectEqual(verdictOf(service.handle(backend_finished{ 1, 1, "stop" }, at(2))), "ran");
}

Test(backend_attempt, silenceCountsAsALostConnection)
{
    backend_attempt attempt = makeStreaming();
    attempt.handle(backend_alive{ 1 }, at(1000));
    cr_assert(attempt.onTick(at(3999)).empty());
    cr_assert(find<resume_stream>(attempt.onTick(at(4000))) != nullptr);
}

Test(backend_attempt, deadlineEndsEveryState)
{
    backend_attempt connecting = makeAttempt();
    connecting.start(at(4900));
    expectEqual(verdictOf(connecting.onTick(at(5000))), "not_run");
    backend_attempt streaming = makeStreaming();
    const auto actions = streaming.onTick(at(5000));
    expectEqual(toString(find<attempt_failed>(actions)->failure.code), "MT-4005");
    expectEqual(verdictOf(actions), "may_have_run");
    backend_attempt late = makeAttempt();
    expectEqual(verdictOf(late.start(at(5000))), "not_run");
    cr_assert(late.isDone());
}

Test(backend_attempt, cancelIsRepeatedUntilAcknowledged)
{
    backend_attempt attempt = makeStreaming();
    const auto actions = attempt.handle(attempt_abandoned{}, at(4));
    cr_assert(find<cancel_stream>(actions) != nullptr);
    expectEqual(verdictOf(actions), "none");
    cr_assert(attempt.handle(backend_chunk{ 1, 1, "b", 1 }, at(5)).empty());
    cr_assert(find<cancel_stream>(attempt.onTick(at(504))) != nullptr);
    cr_assert_not(attempt.isDone());
    attempt.handle(cancel_acknowledged{}, at(505));
    cr_assert(attempt.isDone());
    backend_attempt unheard = makeStreaming();
    unheard.handle(attempt_abandoned{}, at(4));
    unheard.onTick(at(504));
    unheard.onTick(at(1004));
    cr_assert(unheard.onTick(at(1504)).empty());
    cr_assert(unheard.isDone());
}

Test(backend_attempt, dumpShowsStateAndVerdict)
{
    const boost::json::value state = makeStreaming().dump(at(4));
    expectEqual(state.at("state").as_string(), "streaming");
    expectEqual(state.at("verdict_so_far").as_string(), "may_have_run");
}
