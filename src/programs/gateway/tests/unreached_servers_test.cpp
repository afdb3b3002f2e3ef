// Streams were cut although a server was reached: the budget of second sends was spent on sends that had reached no server.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <memory>
#include <string>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using http::testing::raw_server;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr int streams = 80; // Their second sends fit into the budget of the instance; a third send of most of them does not.
constexpr int endingServers = 4;
const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string lastEvent = "id: 2\ndata: b\n\n";

// Criterion runs each test in its own process, so these start anew in each test.
bool areConnectionsLost = false;
int begun = 0;

std::string chunk(const std::string &bytes)
{
    return "f\r\n" + bytes + "\r\n";
}

/// Begins each stream; once the connections are lost, ends it by a reset. Completes what another server has begun.
boost::asio::awaitable<void> serve(raw_connection &connection)
{
    if (connection.request().find("Last-Event-Id: 1\r\n") != std::string::npos) {
        co_await connection.send(head + chunk(lastEvent) + "0\r\n\r\n");
        co_return;
    }
    co_await connection.send(head + chunk(firstEvent));
    ++begun;
    while (!areConnectionsLost) {
        co_await connection.pause(milliseconds(5));
    }
    connection.reset();
}

std::string requestOf(int stream)
{
    return "POST /stream/" + std::to_string(stream)
        + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\nAuthorization: Token secret\r\n"
          "Content-Length: 0\r\n\r\n";
}

} // namespace

Test(unreached_servers, doNotSpendTheBudgetOfSecondSends)
{
    fake_platform platform;
    std::vector<std::unique_ptr<raw_server>> ending;
    for (int number = 0; number < endingServers; ++number) {
        ending.push_back(std::make_unique<raw_server>(platform.executor(), serve));
        platform.addServerAt("ending-" + std::to_string(number), "reading", ending.back()->address());
    }
    platform.addRawServer("staying-1", "reading", serve);
    platform.addRawServer("staying-2", "reading", serve);
    platform.start();
    std::vector<raw_caller> callers;
    for (int stream = 0; stream < streams; ++stream) {
        callers.push_back(platform.openCaller(requestOf(stream)));
    }
    for (int steps = 0; steps < 200 && begun < streams; ++steps) {
        platform.runFor(milliseconds(10));
    }
    expectEqual(begun, streams);
    ending.clear();
    areConnectionsLost = true;
    platform.runFor(milliseconds(2'000));
    for (const raw_caller &caller : callers) {
        expectEqual(caller.stream(), "whole " + firstEvent + lastEvent);
    }
}
