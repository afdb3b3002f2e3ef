#include "programs/gateway/relay_service.h"

#include "gateway/caller_limits.h"
#include "programs/gateway/relay_fields.h"
#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t maxBodyBytes = 1'024 * 1'024;

// Criterion runs each test in its own process, so these are as here at first in each test.
int runs = 0;
bool isServersCallerGone = false;
std::string foreignField;

boost::asio::awaitable<void> answerWhole(http::exchange &exchange)
{
    ++runs;
    foreignField = exchange.request().headers.find(relay_field::server);
    http::response_message message = http::makeResponse(200, "done", "text/plain");
    message.headers.add(std::string(relay_field::outcome), std::string(relay_field::notRun)); // A server's own field of that name.
    co_await exchange.respond(std::move(message));
}

boost::asio::awaitable<void> breakOff(http::exchange &exchange)
{
    ++runs;
    http::header_list head;
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\n");
}

boost::asio::awaitable<void> endBeforeTheBody(http::exchange &exchange)
{
    ++runs;
    http::header_list head;
    co_await exchange.startStream(200, std::move(head));
}

boost::asio::awaitable<void> answerNever(http::exchange &exchange)
{
    exchange.onDisconnect([] {
        isServersCallerGone = true;
    });
    boost::asio::steady_timer wait(exchange.executor(), std::chrono::seconds(3));
    co_await wait.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> streamForever(http::exchange &exchange)
{
    exchange.onDisconnect([] {
        isServersCallerGone = true;
    });
    http::header_list head;
    bool isOpen = co_await exchange.startStream(200, std::move(head));
    boost::asio::steady_timer wait(exchange.executor());
    while (isOpen) {
        isOpen = co_await exchange.write("id: 1\ndata: a\n\n");
        wait.expires_after(milliseconds(20));
        co_await wait.async_wait(boost::asio::use_awaitable);
    }
}

std::string markOfAnswer; ///< That the last answer ended with.

boost::asio::awaitable<void> callRelay(
    http::client &client, endpoint relay, http::request_message message, result<http::response_message> &got)
{
    http::call_limits limits = http::call_limits::within(milliseconds(400));
    auto answer = co_await client.open(relay, std::move(message), std::move(limits));
    if (!answer) {
        got = tl::unexpected(answer.error());
        co_return;
    }
    got = co_await http::readWhole(**answer, 2 * maxBodyBytes);
    markOfAnswer = (*answer)->trailer(relay_field::end);
}

/// A relay that knows one backend server.
class relay_bench
{
public:
    explicit relay_bench(http::handler serve)
        : m_service(m_bench.executor(), m_bench.client(), m_bench.context().state, m_bench.context().log, maxBodyBytes)
        , m_server(m_bench.addServer(std::move(serve)))
    {
        listed_server entry;
        entry.id = backend_server_id("s-1");
        entry.service = service_id("desk");
        entry.dataCentre = data_centre_id("dc");
        entry.address = m_server;
        m_bench.context().state.servers.put(entry, m_bench.context().clock.now());
        m_address = *m_service.listen({ "127.0.0.1", 0 });
    }

    result<http::response_message> call(const endpoint &server, const http::header_list &more = {}, size_t bodyBytes = 0)
    {
        http::request_message message;
        message.body = std::make_shared<const std::string>(bodyBytes, 'b');
        message.headers.add(std::string(relay_field::server), toString(server));
        for (const auto &[name, value] : more.fields()) {
            message.headers.add(name, value);
        }
        result<http::response_message> got;
        boost::asio::co_spawn(m_bench.executor(), callRelay(m_bench.client(), m_address, std::move(message), got), boost::asio::detached);
        m_bench.runFor(milliseconds(800));
        return got;
    }

    /// Calls while the relay cannot connect to the server at first, and stops meanwhile.
    result<http::response_message> callBeforeAStop()
    {
        m_bench.client().setPartitionedEndpoints({ m_server });
        boost::asio::steady_timer stop(m_bench.executor(), milliseconds(40));
        stop.async_wait([this](boost::system::error_code) {
            m_service.refuseRequests();
            m_bench.client().setPartitionedEndpoints({});
        });
        return call(m_server);
    }

    /// Calls, and ends the relay's requests while the server answers.
    result<http::response_message> callBeforeTheEnd()
    {
        boost::asio::steady_timer end(m_bench.executor(), milliseconds(100));
        end.async_wait([this](boost::system::error_code) {
            m_service.endRequests();
        });
        return call(m_server, { { std::string(relay_field::end), std::string(relay_field::isMarked) } });
    }

    /// The relay's own path to the server is lost.
    void losePath()
    {
        m_bench.context().state.paths.recordLost(m_server, m_bench.context().clock.now());
    }

    void cutFromServer()
    {
        m_bench.client().setPartitionedEndpoints({ m_server });
    }

    const endpoint &server() const
    {
        return m_server;
    }

    relay_service &service()
    {
        return m_service;
    }

private:
    send_bench m_bench;
    relay_service m_service;
    endpoint m_server;
    endpoint m_address;
};

} // namespace

Test(relay_service, passesOnWhatTheServerSaysAndNamesItAsItsOwn)
{
    relay_bench relay(answerWhole);
    const auto got = relay.call(relay.server());
    cr_assert(got.has_value());
    expectEqual(got->body, std::string("done"));
    expectEqual(got->headers.find(relay_field::outcome), relay_field::passedOn);
    expectEqual(foreignField, std::string());
}

// The operator may allow callers longer heads than a server takes by itself.
Test(relay_service, takesTheLongestHeadThatACallerMaySend)
{
    relay_bench relay(answerWhole);
    const auto got = relay.call(relay.server(), { { "X-Fill", std::string(caller_limits::maxHeaderBytes - 100, 'x') } });
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::passedOn);
    expectEqual(runs, 1);
}

Test(relay_service, aFieldOfTheCallerDoesNotChooseTheServer)
{
    relay_bench relay(answerWhole);
    const auto got = relay.call(relay.server(), { { std::string(relay_field::server), "127.0.0.1:1" } });
    cr_assert(got.has_value());
    expectEqual(got->status, 200);
    expectEqual(foreignField, std::string("127.0.0.1:1"));
}

Test(relay_service, sendsToNoServerThatIsNotListed)
{
    relay_bench relay(answerWhole);
    const auto got = relay.call({ "127.0.0.1", 9 });
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(runs, 0);
}

Test(relay_service, anAnswerThatIsCutOffIsCutOffForTheSenderToo)
{
    relay_bench relay(breakOff);
    cr_assert_not(relay.call(relay.server()).has_value());
    expectEqual(runs, 1);
}

// The sender could not tell a cut from the end of the relay.
Test(relay_service, saysThatTheServerWasLostBeforeTheFirstByteOfTheBody)
{
    relay_bench relay(endBeforeTheBody);
    const auto got = relay.call(relay.server());
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::mayHaveRun);
    expectEqual(runs, 1);
}

Test(relay_service, opensANewConnectionForAnAttemptThatTheServerMayHaveSeen)
{
    relay_bench relay(answerWhole);
    const std::string field(relay_field::connection);
    const std::string isNew(relay_field::isNew);
    expectEqual(relay.call(relay.server(), { { field, "reused" } })->headers.find(field), relay_field::isNew);
    expectEqual(relay.call(relay.server(), { { field, "reused" } })->headers.find(field), relay_field::isReused);
    expectEqual(relay.call(relay.server(), { { field, isNew } })->headers.find(field), relay_field::isNew);
}

Test(relay_service, leavesTheServerWhenTheSenderDoes)
{
    relay_bench relay(answerNever);
    cr_assert_not(relay.call(relay.server()).has_value());
    cr_assert(isServersCallerGone);
}

Test(relay_service, refusesWithNothingSentOnceItsInstanceStops)
{
    relay_bench relay(answerWhole);
    relay.service().refuseRequests();
    const auto got = relay.call(relay.server());
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(runs, 0);
}

Test(relay_service, handsBackWhatItHasNotPassedOnWhenItsInstanceStops)
{
    relay_bench relay(answerWhole);
    const auto got = relay.callBeforeAStop();
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(runs, 0);
}

// An end of the relay was taken for a crash of the server.
Test(relay_service, marksTheEndOfTheServerForASenderThatKnowsTheMark)
{
    relay_bench relay(breakOff);
    const auto got = relay.call(relay.server(), { { std::string(relay_field::end), std::string(relay_field::isMarked) } });
    cr_assert(got.has_value());
    expectEqual(got->body, std::string("id: 1\ndata: a\n\n"));
    expectEqual(std::string_view(markOfAnswer), relay_field::serverLost);
    expectEqual(runs, 1);
}

Test(relay_service, doesNotMarkItsOwnEndAsThatOfTheServer)
{
    relay_bench relay(streamForever);
    cr_assert_not(relay.callBeforeTheEnd().has_value());
    cr_assert(isServersCallerGone);
}

Test(relay_service, doesNotSayThatTheServerWasLostWhenItEndsBeforeTheAnswer)
{
    relay_bench relay(answerNever);
    cr_assert_not(relay.callBeforeTheEnd().has_value());
    cr_assert(isServersCallerGone);
}

Test(relay_service, saysThatItTriedToReachTheServer)
{
    relay_bench relay(answerWhole);
    relay.cutFromServer();
    const auto got = relay.call(relay.server());
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(got->headers.find(relay_field::reason), relay_field::unreached);
}

Test(relay_service, handsBackWhatItHasNoMemoryFor)
{
    relay_bench relay(answerWhole);
    const auto got = relay.call(relay.server(), {}, 4 * maxBodyBytes);
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(got->headers.find(relay_field::reason), relay_field::handedBack);
    expectEqual(runs, 0);
}

// A server was held to be out of reach since a relay had lost its own path to it.
Test(relay_service, handsBackWhatNeedsAPathThatItHasLost)
{
    relay_bench relay(answerWhole);
    relay.losePath();
    const auto got = relay.call(relay.server());
    cr_assert(got.has_value());
    expectEqual(got->headers.find(relay_field::outcome), relay_field::notRun);
    expectEqual(got->headers.find(relay_field::reason), relay_field::handedBack);
    expectEqual(runs, 0);
}
