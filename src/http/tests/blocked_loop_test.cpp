// While the event loop stands still, time limits pass for requests that have arrived and could not be read.

#include "http/server.h"

#include "testing/expect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <list>
#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace
{

constexpr milliseconds limit{ 300 };
constexpr milliseconds untilLimitHasPassed{ 500 };
constexpr milliseconds idleLimit{ 3'000 }; ///< More than the first requests of all connections take on a busy machine.
constexpr milliseconds untilIdleLimitHasPassed{ 3'200 };
constexpr unsigned manyConnections = 400; ///< More than the event loop looks at before it handles its timers.

const std::string getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string blockingRequest = "GET /block HTTP/1.1\r\nHost: a\r\n\r\n";

/// Server on one thread, which a request for /block holds up until it is told to go on.
class blockable_server
{
public:
    explicit blockable_server(const server_limits &limits)
        : m_server(
            m_context.get_executor(),
            limits,
            [this](exchange &incoming) {
                return serve(incoming);
            },
            [](int status, int, std::string_view) {
                return response_message{ status, {}, "refused" };
            })
        , m_address(m_server.listen({ "127.0.0.1", 0 }).value())
        , m_thread([this] {
            m_context.run();
        })
    {
    }
    ~blockable_server()
    {
        m_context.stop();
        m_thread.join();
    }

    const endpoint &address() const
    {
        return m_address;
    }
    void waitUntilBlocked()
    {
        m_blocked.get_future().wait();
    }
    void goOn()
    {
        m_goOn.set_value();
    }

private:
    asio::awaitable<void> serve(exchange &incoming)
    {
        if (incoming.request().path() == "/block") {
            m_blocked.set_value();
            m_goOn.get_future().wait();
        }
        response_message message;
        message.body = "ok";
        co_await incoming.respond(std::move(message));
    }

    asio::io_context m_context;
    std::promise<void> m_blocked;
    std::promise<void> m_goOn;
    server m_server;
    endpoint m_address;
    std::thread m_thread;
};

class caller
{
public:
    explicit caller(const endpoint &to)
        : m_socket(m_context)
    {
        m_socket.connect({ asio::ip::make_address(to.address), to.port });
    }

    void send(const std::string &bytes)
    {
        asio::write(m_socket, asio::buffer(bytes));
    }

    /// First line of the response; empty if the connection ended without one.
    std::string responseLine()
    {
        boost::system::error_code failure;
        asio::read_until(m_socket, m_received, "\r\n\r\nok", failure);
        std::string line;
        std::istream received(&m_received);
        std::getline(received, line);
        m_received.consume(m_received.size());
        return line.substr(0, line.find('\r'));
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    asio::streambuf m_received;
};

} // namespace

Test(blocked_loop, requestsThatArriveMeanwhileAreServedAlthoughTheIdleLimitPassed)
{
    server_limits limits;
    limits.idle = idleLimit;
    blockable_server server(limits);
    std::list<caller> callers;
    for (unsigned each = 0; each < manyConnections; ++each) {
        callers.emplace_back(server.address());
    }
    caller blocking(server.address());
    for (caller &each : callers) {
        each.send(getRequest);
    }
    for (caller &each : callers) {
        expectEqual(each.responseLine(), "HTTP/1.1 200 OK");
    }
    blocking.send(blockingRequest);
    server.waitUntilBlocked();
    std::this_thread::sleep_for(untilIdleLimitHasPassed);
    for (caller &each : callers) {
        each.send(getRequest);
    }
    server.goOn();
    unsigned served = 0;
    for (caller &each : callers) {
        served += each.responseLine() == "HTTP/1.1 200 OK" ? 1 : 0;
    }
    expectEqual(served, manyConnections);
}

Test(blocked_loop, aHeadThatIsCompletedMeanwhileIsNotLate)
{
    server_limits limits;
    limits.progress = limit;
    blockable_server server(limits);
    caller slow(server.address());
    caller blocking(server.address());
    slow.send(getRequest.substr(0, getRequest.size() / 2));
    blocking.send(blockingRequest);
    server.waitUntilBlocked();
    slow.send(getRequest.substr(getRequest.size() / 2));
    std::this_thread::sleep_for(untilLimitHasPassed);
    server.goOn();
    expectEqual(slow.responseLine(), "HTTP/1.1 200 OK");
}

Test(blocked_loop, aBodyThatIsCompletedMeanwhileIsNotLate)
{
    server_limits limits;
    limits.progress = limit;
    blockable_server server(limits);
    caller slow(server.address());
    caller blocking(server.address());
    const std::string body(200'000, 'x'); // Several reads.
    slow.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, 10));
    blocking.send(blockingRequest);
    server.waitUntilBlocked();
    slow.send(body.substr(10));
    std::this_thread::sleep_for(untilLimitHasPassed);
    server.goOn();
    expectEqual(slow.responseLine(), "HTTP/1.1 200 OK");
}

Test(blocked_loop, aCallerThatSendsNothingMoreIsStillTooSlow)
{
    server_limits limits;
    limits.progress = limit;
    blockable_server server(limits);
    caller slow(server.address());
    caller blocking(server.address());
    slow.send(getRequest.substr(0, getRequest.size() / 2));
    blocking.send(blockingRequest);
    server.waitUntilBlocked();
    std::this_thread::sleep_for(untilLimitHasPassed);
    server.goOn();
    expectEqual(slow.responseLine(), "HTTP/1.1 408 Request Timeout");
}
