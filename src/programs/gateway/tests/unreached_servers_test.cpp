// Streams were cut although a server was reached: the budget of second sends was spent on sends that had reached no server.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

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

/// Completes a stream, but refuses connections until it listens.
class late_server
{
public:
    explicit late_server(fake_platform &platform)
        : m_acceptor(platform.executor(), boost::asio::ip::tcp::v4())
    {
        m_acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    }

    endpoint address() const
    {
        return { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }

    void listen()
    {
        m_acceptor.listen();
        boost::asio::co_spawn(m_acceptor.get_executor(), serveOne(), boost::asio::detached);
    }

private:
    boost::asio::awaitable<void> serveOne()
    {
        raw_connection connection(co_await m_acceptor.async_accept(boost::asio::use_awaitable));
        co_await connection.readRequest();
        co_await serve(connection);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace

// Connections that were refused within milliseconds used up all sends of a stream.
Test(unreached_servers, doNotEndAStreamWhileTheyAreOutOfReachForAMoment)
{
    fake_platform platform;
    platform.addRawServer("first", "reading", serve);
    platform.start();
    const raw_caller caller = platform.openCaller(requestOf(1));
    for (int steps = 0; steps < 200 && begun < 1; ++steps) {
        platform.runFor(milliseconds(10));
    }
    late_server second(platform);
    platform.writeItems({ fake_platform::itemOf("servers/second", fake_platform::entryOf("reading", second.address())) });
    platform.runFor(milliseconds(300));
    areConnectionsLost = true;
    platform.runFor(milliseconds(500));
    second.listen();
    platform.runFor(milliseconds(1'500));
    expectEqual(caller.stream(), "whole " + firstEvent + lastEvent);
}

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
