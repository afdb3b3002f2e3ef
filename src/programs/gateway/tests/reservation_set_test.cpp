#include "programs/gateway/reservation_set.h"

#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

// Criterion runs each test in its own process, so this is empty at first in each test.
std::set<std::string> reservedNames;

/// Grants reservations slowly and releases them at once.
boost::asio::awaitable<void> reserveSlowly(http::exchange &exchange)
{
    const std::string &order = *exchange.request().body;
    const size_t nameAt = order.find("mt");
    const std::string name = order.substr(nameAt, order.find('"', nameAt) - nameAt);
    if (order.find("release") != std::string::npos) {
        reservedNames.erase(name);
    } else {
        boost::asio::steady_timer timer(exchange.executor(), milliseconds(50));
        co_await timer.async_wait(boost::asio::use_awaitable);
        reservedNames.insert(name);
    }
    http::response_message answer;
    answer.body = "{}";
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> answerNever(http::exchange &exchange)
{
    boost::asio::steady_timer timer(exchange.executor(), std::chrono::seconds(60));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> acquire(std::shared_ptr<reservation_set> reservations)
{
    co_await reservations->acquire();
}

} // namespace

Test(reservation_set, keepsNothingThatIsGrantedAfterItsRelease)
{
    send_bench bench;
    const endpoint first = bench.addServer(reserveSlowly);
    const endpoint second = bench.addServer(reserveSlowly);
    std::vector<reservation_set::share> shares;
    shares.push_back({ 1, backend_server_id("i-1"), first, 100 });
    shares.push_back({ 2, backend_server_id("i-2"), second, 100 });
    const auto reservations = std::make_shared<reservation_set>(bench.context(), bench.executor(), 9, std::move(shares));
    boost::asio::co_spawn(bench.executor(), acquire(reservations), boost::asio::detached);
    bench.runFor(milliseconds(20));
    reservations->release();
    bench.runFor(milliseconds(500));
    expectEqual(reservedNames.size(), size_t{ 0 });
}

Test(reservation_set, anAcquisitionEndsWithItsRelease)
{
    send_bench bench;
    std::vector<reservation_set::share> shares;
    shares.push_back({ 1, backend_server_id("i-1"), bench.addServer(answerNever), 100 });
    reservation_set reservations(bench.context(), bench.executor(), 9, std::move(shares));
    std::string outcome;
    boost::asio::co_spawn(bench.executor(), reservations.acquire(), [&outcome](std::exception_ptr, bool isGranted) {
        outcome = isGranted ? "granted" : "not granted";
    });
    bench.runFor(milliseconds(20));
    expectEqual(outcome, std::string());
    reservations.release();
    bench.runFor(milliseconds(50));
    expectEqual(outcome, std::string("not granted"));
}
