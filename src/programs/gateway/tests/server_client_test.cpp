#include "programs/gateway/server_client.h"

#include "http/tests/raw_server.h"
#include "programs/gateway/peer_link.h"
#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

// Criterion runs each test in its own process, so this is zero at first in each test.
int calls = 0;

boost::asio::awaitable<void> answerSecondCallAsARequest(http::exchange &exchange)
{
    http::response_message answer = http::makeResponse(200, "{}", "application/json");
    if (++calls == 2) {
        answer.headers.add("Attempt-Id", "a1");
    }
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> callThrice(server_client &servers, endpoint to, std::string &outcomes)
{
    for (int count = 0; count < 3; ++count) {
        http::request_message order;
        auto limits = http::call_limits::within(milliseconds(300));
        const auto answer = co_await servers.call(to, std::move(order), std::move(limits), attempt_id("a2"));
        outcomes += answer ? "answered " : std::string(toString(answer.error().outcome)) + ' ';
    }
}

const std::string statusLine = "HTTP/1.1 200 OK\r\n";

/// Answers of a server in trouble; the last one is only a part if its connection is reset.
const std::vector<std::string> brokenAnswers{
    "HTTP/1.1 000 Trouble\r\n\r\n" + statusLine + "Content-Length: 2\r\n\r\n{}",
    statusLine + "X-Before: b\r\n Content-Length: 2\r\n\r\n{}",
    statusLine + "Content Length: 2\r\n\r\n{}",
    statusLine + "\r\n{}",
};

boost::asio::awaitable<void> sendAndReset(http::testing::raw_connection &connection, std::string bytes)
{
    constexpr milliseconds arrivalTime{ 20 };
    co_await connection.send(std::move(bytes));
    co_await connection.pause(arrivalTime);
    connection.reset();
}

/// Puts an order and a question to the server.
boost::asio::awaitable<void> callAndAsk(server_client &servers, endpoint to, std::string &outcomes)
{
    http::request_message order;
    order.body = std::make_shared<const std::string>(4 * 1024 * 1024, 'x');
    auto limits = http::call_limits::within(milliseconds(300));
    const auto answer = co_await servers.call(to, order, limits, attempt_id("a2"));
    outcomes += answer ? "answered " : std::string(toString(answer.error().outcome)) + ' ';
    std::set<peer_address> noRelays;
    const server_reply reply = co_await servers.ask(to, order, limits, attempt_id("a2"), std::move(noRelays));
    outcomes += reply.answer ? "answered" : toString(reply.answer.error().outcome);
}

boost::asio::awaitable<void> readToTheEnd(server_client &servers, endpoint to, std::string &read, error_code &end)
{
    http::request_message message;
    auto limits = http::call_limits::within(milliseconds(300));
    const auto answer = co_await servers.open(to, std::move(message), std::move(limits), std::make_shared<sent_attempt>(attempt_id("a1")));
    if (!answer) {
        end = answer.error().code;
        co_return;
    }
    while (true) {
        const auto bytes = co_await (*answer)->read();
        if (!bytes || bytes->empty()) {
            end = bytes ? error_code::none : bytes.error().code;
            co_return;
        }
        read += *bytes;
    }
}

constexpr int piecesOfAnswer = 10;

boost::asio::awaitable<void> answerInPieces(http::exchange &exchange)
{
    http::header_list head;
    co_await exchange.startStream(200, std::move(head));
    boost::asio::steady_timer wait(exchange.executor());
    for (int piece = 0; piece < piecesOfAnswer; ++piece) {
        wait.expires_after(milliseconds(30));
        co_await wait.async_wait(boost::asio::use_awaitable);
        co_await exchange.write("piece ");
    }
    co_await exchange.finishStream();
}

/// Sends to a server that only the relay reaches; returns what was read of its answer and how that ended.
std::string readThrough(const std::string &bytesOfRelay)
{
    constexpr std::uint16_t unusedPort = 1;
    send_bench bench;
    const http::testing::raw_server relay(
        bench.executor(), [&bytesOfRelay](http::testing::raw_connection &connection) -> boost::asio::awaitable<void> {
            co_await connection.send(bytesOfRelay);
        });
    gateway_context &context = bench.context();
    load_report report;
    report.sender = instance_id("relay");
    report.address = peerAddressOf("127.0.0.1");
    report.dataCentre = data_centre_id("dc");
    report.incarnation = report.sequence = 1;
    context.state.peers.recordReport(report, context.clock.now());
    server_client servers(bench.executor(), bench.client(), context.state, context.clock, context.log, 1, relay.address().port);
    std::string read;
    error_code end = error_code::backend_timeout;
    boost::asio::co_spawn(bench.executor(), readToTheEnd(servers, { "127.0.0.1", unusedPort }, read, end), boost::asio::detached);
    bench.runFor(milliseconds(400));
    return read + ' ' + toString(end);
}

std::string headOfRelay(const std::string &more)
{
    return "HTTP/1.1 200 OK\r\nMustardtrail-Relay: passed\r\nMustardtrail-Relay-Body: framed\r\nMustardtrail-Relay-Connection: new\r\n"
        + more + "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string relayedHead = headOfRelay("Mustardtrail-Relay-End: marked\r\n");

} // namespace

Test(server_client, doesNotTakeTheAnswerToARequestForThatToAnOrder)
{
    send_bench bench;
    const endpoint server = bench.addServer(answerSecondCallAsARequest);
    std::string outcomes;
    boost::asio::co_spawn(bench.executor(), callThrice(bench.context().servers, server, outcomes), boost::asio::detached);
    bench.runFor(milliseconds(200));
    expectEqual(outcomes, "answered may_have_run answered ");
}

Test(server_client, doesNotTakeABrokenAnswerForThatToAnOrderOrAQuestion)
{
    for (const std::string &bytes : brokenAnswers) {
        send_bench bench;
        const http::testing::raw_server server(
            bench.executor(),
            [&bytes](http::testing::raw_connection &connection) {
                return sendAndReset(connection, bytes);
            },
            http::testing::request_part::head);
        std::string outcomes;
        boost::asio::co_spawn(bench.executor(), callAndAsk(bench.context().servers, server.address(), outcomes), boost::asio::detached);
        bench.runFor(milliseconds(800));
        expectEqual(outcomes, "may_have_run may_have_run");
    }
}

Test(server_client, doesNotTakeTheEndOfARelayBeforeItsAnswerForTheEndOfTheServer)
{
    expectEqual(readThrough(""), std::string(" ") + toString(error_code::peer_connection_lost));
}

// Sound prompts were taken for crashing ones when the instance that relayed their answers stopped.
Test(server_client, doesNotTakeTheEndOfARelayWithinABodyForTheEndOfTheServer)
{
    expectEqual(readThrough(relayedHead + "4\r\npart\r\n"), std::string("part ") + toString(error_code::peer_connection_lost));
    expectEqual(readThrough(relayedHead + "4\r\npart\r\n0\r\n\r\n"), "part " + toString(error_code::none));
}

// An earlier release writes no mark.
Test(server_client, takesACutInABodyOfARelayThatWritesNoMarkForTheEndOfTheServer)
{
    const std::string lost = std::string("part ") + toString(error_code::backend_connection_lost);
    expectEqual(readThrough(headOfRelay("") + "4\r\npart\r\n"), lost);
    expectEqual(readThrough(headOfRelay("Mustardtrail-Relay-End: unmarked\r\n") + "4\r\npart\r\n"), lost);
}

Test(server_client, takesTheMarkAfterARelayedBodyForTheEndOfTheServer)
{
    const std::string mark = "0\r\nMustardtrail-Relay-End: server_lost\r\n\r\n";
    expectEqual(readThrough(relayedHead + "4\r\npart\r\n" + mark), "part " + toString(error_code::backend_connection_lost));
}

Test(server_client, doesNotTakeAFieldOfTheServerForTheMarkOfARelay)
{
    std::string head = relayedHead;
    head.insert(head.size() - 2, "Mustardtrail-Relay-End: server_lost\r\n");
    expectEqual(readThrough(head + "4\r\npart\r\n0\r\n\r\n"), "part " + toString(error_code::none));
}

// A server was held to be out of reach because the relays were full.
Test(server_client, doesNotHoldTheTroubleOfARelayAgainstTheServer)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nMustardtrail-Relay: not_run\r\nContent-Length: 0\r\n";
    const std::string handedBack = "Mustardtrail-Relay-Reason: handed_back\r\n\r\n";
    expectEqual(readThrough(refusal + handedBack), " " + toString(error_code::peer_connect_failed));
    const std::string unreached = "Mustardtrail-Relay-Reason: unreached\r\n\r\n";
    expectEqual(readThrough(refusal + unreached), " " + toString(error_code::backend_connect_failed));
}

// Relays of an earlier release give no reason: a dead server would never count as out of reach.
Test(server_client, takesARelayThatGivesNoReasonForOneThatTried)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nMustardtrail-Relay: not_run\r\nContent-Length: 0\r\n\r\n";
    expectEqual(readThrough(refusal), " " + toString(error_code::backend_connect_failed));
}

Test(server_client, takesTheWordOfARelayForTheEndOfTheServer)
{
    const std::string serverLost = toString(error_code::backend_connection_lost);
    expectEqual(readThrough("HTTP/1.1 502 Bad Gateway\r\nMustardtrail-Relay: may_have_run\r\nContent-Length: 0\r\n\r\n"), " " + serverLost);
}

// Only heads of answers counted, so sound servers that were silent together were reached through other instances.
Test(server_client, theBytesOfAnAnswerShowThatPathsAreNotLost)
{
    const endpoint firstSilent{ "10.0.0.1", 80 };
    const endpoint secondSilent{ "10.0.0.2", 80 };
    send_bench bench;
    const endpoint server = bench.addServer(answerInPieces);
    server_client &servers = bench.context().servers;
    std::string read;
    error_code end = error_code::backend_timeout;
    boost::asio::co_spawn(bench.executor(), readToTheEnd(servers, server, read, end), boost::asio::detached);
    bench.runFor(milliseconds(100));
    const time_point silentSince = bench.context().clock.now();
    servers.recordSilence(firstSilent, silentSince);
    servers.recordSilence(secondSilent, silentSince);
    server_paths &paths = bench.context().state.paths;
    cr_assert_not(paths.mayUseOwnPath(secondSilent, bench.context().clock.now()));
    bench.runFor(milliseconds(400));
    expectEqual(toString(end), toString(error_code::none));
    cr_assert(paths.mayUseOwnPath(secondSilent, bench.context().clock.now()));
}

// A probe for each tenth of a second left the last of many paths unused for seconds after a cut.
Test(server_client, allPathsThatAreDueAreProbedAtOnce)
{
    constexpr int serverCount = 30;
    send_bench bench;
    server_paths &paths = bench.context().state.paths;
    std::vector<endpoint> lost;
    for (int number = 0; number < serverCount; ++number) {
        lost.push_back(bench.addServer(answerInPieces));
        paths.recordLost(lost.back(), bench.context().clock.now());
    }
    paths.recordConnected({ "10.0.0.1", 80 });
    boost::asio::co_spawn(bench.executor(), bench.context().servers.probeLostPaths(), boost::asio::detached);
    bench.runFor(server_paths::firstProbeDelay + milliseconds(600));
    for (const endpoint &each : lost) {
        cr_assert(paths.mayUseOwnPath(each, bench.context().clock.now()));
    }
}
