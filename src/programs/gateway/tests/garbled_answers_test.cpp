#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;

namespace
{

const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\n";

// Criterion runs each test in its own process, so these values start anew in each test.
bool isGarbling = true;
int sends = 0;

boost::asio::awaitable<void> sendAndWait(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
    co_await connection.waitUntilClosed();
}

boost::asio::awaitable<void> garble(raw_connection &connection)
{
    ++sends;
    const std::string garbage = "\x01\x02 no answer\r\n\r\n";
    const std::string whole = head + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
    return sendAndWait(connection, isGarbling ? garbage : whole);
}

} // namespace

Test(garbled_answers, doNotKeepPartsOfAPromptAwayFromServers)
{
    fake_platform platform;
    for (int number = 1; number <= 12; ++number) {
        platform.addRawServer("i-" + std::to_string(number), "reading", garble);
    }
    platform.start();
    for (int request = 0; request < 10; ++request) {
        expectEqual(platform.callWithPrompt("/stream/x", "5c1e:40,own" + std::to_string(request) + ":100").status, 502);
    }
    expectEqual(sends, 20);
    isGarbling = false;
    const caller_answer answer = platform.callWithPrompt("/stream/x", "5c1e:40,own:100");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "id: 1\ndata: a\n\n");
}
