// A stream that was still running when a stopping process ended was cut without a final line, and what it held was not released.

#include "host/log.h"
#include "programs/gateway/tests/engine_memory.h"
#include "programs/gateway/tests/fake_platform.h"
#include "testing/expect.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds stopGrace{ 3'500 };
constexpr std::uint16_t callerPort = 8'001; ///< Of all instances of the fake platform.

/// The log of this process, from its construction to its destruction.
class captured_log
{
public:
    captured_log()
        : m_file(std::tmpfile())
        , m_output(::dup(STDOUT_FILENO))
    {
        ::dup2(::fileno(m_file), STDOUT_FILENO);
        host::openLog(host::log_level::info, "gateway_test");
    }
    ~captured_log()
    {
        host::openLog(host::log_level::warning, "gateway_test");
        ::dup2(m_output, STDOUT_FILENO);
        ::close(m_output);
        std::fclose(m_file);
    }
    captured_log(const captured_log &) = delete;
    captured_log &operator=(const captured_log &) = delete;

    /// Number of lines that contain both texts.
    int count(const std::string &first, const std::string &second) const
    {
        std::rewind(m_file);
        std::array<char, 4'096> line{};
        int found = 0;
        while (std::fgets(line.data(), static_cast<int>(line.size()), m_file)) {
            const std::string text = line.data();
            found += text.find(first) != std::string::npos && text.find(second) != std::string::npos ? 1 : 0;
        }
        return found;
    }

private:
    std::FILE *m_file;
    int m_output;
};

// Criterion runs each test in its own process, so these values start anew in each test.
int begun = 0;
int closed = 0;

std::string requestTo(const std::string &path, const std::string &tokens)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\nAuthorization: Token secret\r\n"
        + tokens + "Content-Length: 8\r\n\r\nquestion";
}

/// A stream of events of this size that does not end within a test.
asio::awaitable<void> streamOnAndOn(http::exchange &exchange, size_t eventBytes)
{
    ++begun;
    exchange.onDisconnect([] {
        ++closed;
    });
    const http::header_list headers{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, headers);
    asio::steady_timer timer(exchange.executor());
    bool isOpen = true;
    for (int event = 1; isOpen; ++event) {
        isOpen = co_await exchange.write("id: " + std::to_string(event) + "\ndata: " + std::string(eventBytes, 'a') + "\n\n");
        timer.expires_after(milliseconds(100));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> streamSmallEvents(http::exchange &exchange)
{
    return streamOnAndOn(exchange, 1);
}

/// More than the buffers of a connection take.
asio::awaitable<void> streamLargeEvents(http::exchange &exchange)
{
    return streamOnAndOn(exchange, 1'000'000);
}

/// Engines of one service that share a ledger of their memory.
http::handler engineThatStreams(engine_memory &memory)
{
    return [&memory](http::exchange &exchange) -> asio::awaitable<void> {
        if (engine_memory::isOrder(exchange)) {
            co_await memory.serve(exchange);
            co_return;
        }
        co_await streamSmallEvents(exchange);
    };
}

void stopAndRunToTheEnd(fake_platform &platform)
{
    platform.runFor(milliseconds(60));
    platform.stopFirstInstance();
    platform.runFor(stopGrace + milliseconds(500));
}

} // namespace

Test(process_end, aStreamThatIsCutHasOneFinalLineAndItsServerSeesTheConnectionClose)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamSmallEvents);
    platform.start();
    const captured_log log;
    const raw_caller caller = platform.openCaller(requestTo("/stream/x", ""));
    stopAndRunToTheEnd(platform);
    expectEqual(begun, 1);
    expectEqual(log.count("stream_broken ", "request=a1 "), 1);
    expectEqual(log.count("stream_broken ", "detail=instance_ends "), 1);
    expectEqual(closed, 1);
}

Test(process_end, aStreamWhoseCallerDoesNotReadHasOneFinalLineAndItsServerSeesTheConnectionClose)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamLargeEvents);
    platform.start();
    const captured_log log;
    asio::ip::tcp::socket socket(platform.executor());
    socket.connect({ asio::ip::make_address(platform.readinessAddress().address), callerPort });
    const std::string request = requestTo("/stream/x", "");
    asio::write(socket, asio::buffer(request));
    stopAndRunToTheEnd(platform);
    expectEqual(begun, 1);
    expectEqual(log.count("stream_broken ", "detail=instance_ends "), 1);
    expectEqual(log.count("caller_gone ", "request=a1 "), 0);
    expectEqual(closed, 1);
}

Test(process_end, aStreamThatIsCutKeepsNoMemoryOfOtherEngines)
{
    engine_memory memory;
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    for (int number = 1; number <= 4; ++number) {
        platform.addServer("i-" + std::to_string(number), "batch", engineThatStreams(memory));
    }
    platform.start();
    const raw_caller caller = platform.openCaller(requestTo("/queue/x", "Token-Counts: 1500,10\r\n"));
    platform.runFor(milliseconds(200));
    cr_assert_gt(memory.heldCount(), 0);
    stopAndRunToTheEnd(platform);
    expectEqual(begun, 1);
    expectEqual(closed, 1);
    expectEqual(memory.heldCount(), size_t{ 0 });
}
