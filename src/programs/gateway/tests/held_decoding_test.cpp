#include "programs/gateway/tests/fake_platform.h"
#include "programs/gateway/tests/worker_gate.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\n";

boost::asio::awaitable<void> answerAtOnce(raw_connection &connection)
{
    co_await connection.send(head + "Content-Length: 5\r\n\r\nwhole");
}

boost::asio::awaitable<void> streamInPieces(raw_connection &connection)
{
    co_await connection.send(head + "\r\nid: 1\ndata: a\n\n");
    co_await connection.pause(milliseconds(100));
    co_await connection.send("id: 2\ndata: b\n\n");
}

/// Version 2 of the first configuration, without its route to /again/, and larger than what is decoded on the event loop.
std::string largeConfig()
{
    std::string text = fake_platform::firstConfig();
    text.replace(text.find(R"("version":1)"), 11, R"("version":2)");
    text.replace(text.find("/again/"), 7, "/other/");
    std::string routes;
    for (int number = 0; number < 1'000; ++number) {
        const std::string name = std::to_string(number);
        routes
            += R"({"name":"r)" + name + R"(","host":"r.example","path_prefix":"/)" + name + R"(/","kind":"idempotent","service":"desk"},)";
    }
    return text.insert(text.find('[') + 1, routes);
}

bool isBeingDecoded(fake_platform &platform)
{
    for (int steps = 0; steps < 200 && platform.worker().unfinished() < 2; ++steps) {
        platform.runFor(milliseconds(10));
    }
    return platform.worker().unfinished() == 2;
}

} // namespace

Test(held_decoding, requestsAndStreamsAreServedWhileALargeConfigurationIsDecoded)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", answerAtOnce);
    platform.addRawServer("i-2", "reading", streamInPieces);
    platform.start();
    worker_gate gate(platform.worker());
    platform.publish(largeConfig());
    cr_assert(isBeingDecoded(platform));
    const caller_answer plain = platform.call("/again/x");
    expectEqual(plain.status, 200);
    expectEqual(plain.body, "whole");
    const caller_answer stream = platform.call("/stream/x");
    cr_assert(stream.isComplete);
    expectEqual(stream.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    gate.open();
    int status = 200;
    for (int attempt = 0; attempt < 100 && status == 200; ++attempt) {
        platform.runFor(milliseconds(10));
        status = platform.call("/again/x").status;
    }
    expectEqual(status, 404);
    expectEqual(platform.call("/other/x").status, 200);
}

// The worker's thread would use what the process has destroyed.
Test(held_decoding, aStopWaitsForTheWorker)
{
    fake_platform platform;
    platform.setStopGrace(milliseconds(3'500));
    platform.addRawServer("i-1", "desk", answerAtOnce);
    platform.start();
    bool isFinished = false;
    worker_gate gate(platform.worker());
    platform.publish(largeConfig());
    cr_assert(isBeingDecoded(platform));
    std::thread opener([&platform, &gate, &isFinished] {
        while (platform.worker().unfinished() == 2) { // The stop drops what has not begun.
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        isFinished = true;
        gate.open();
    });
    platform.stopFirstInstance();
    platform.runFor(milliseconds(5'000));
    opener.join();
    cr_assert(isFinished);
    expectEqual(platform.worker().unfinished(), 0U);
}
