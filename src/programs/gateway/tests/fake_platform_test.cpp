// A test that ended while a request still ran was ended by a signal: the request was destroyed after its instance.

#include "programs/gateway/tests/fake_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using std::chrono::milliseconds;

namespace
{

boost::asio::awaitable<void> stayOpen(http::exchange &exchange)
{
    http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\n");
    boost::asio::steady_timer timer(exchange.executor(), milliseconds(6'000));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace

Test(fake_platform, mayBeDestroyedWhileARequestRuns)
{
    for (const milliseconds runsFor : { milliseconds(100), milliseconds(700) }) {
        fake_platform platform;
        platform.addServer("i-1", "reading", stayOpen);
        platform.addServer("i-2", "reading", stayOpen);
        platform.start();
        const raw_caller caller
            = platform.openCaller("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\n"
                                  "Authorization: Token secret\r\nContent-Length: 0\r\n\r\n");
        platform.runFor(runsFor);
    }
}
