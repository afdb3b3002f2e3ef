#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <functional>
#include <future>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Client with simulated partitions, on its own thread.
class partitionable_client
{
public:
    explicit partitionable_client(simulated_partitions allowed)
        : m_work(m_context.get_executor())
        , m_client(m_context.get_executor(), allowed)
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~partitionable_client()
    {
        m_context.stop();
        m_thread.join();
    }

    std::future<result<response_message>> call(const endpoint &to, call_limits limits)
    {
        return asio::co_spawn(m_context, m_client.call(to, request_message(), std::move(limits)), asio::use_future);
    }

    bool partitionFrom(std::set<endpoint> endpoints)
    {
        std::promise<bool> done;
        asio::post(m_context, [&] {
            done.set_value(m_client.setPartitionedEndpoints(endpoints));
        });
        return done.get_future().get();
    }

    /// Runs the function on the client's executor.
    void run(std::function<void()> function)
    {
        asio::post(m_context, std::move(function));
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    client m_client;
    std::thread m_thread;
};

asio::awaitable<void> countAndAnswer(std::atomic<int> &served, exchange &incoming)
{
    ++served;
    co_await incoming.respond(makeResponse(200, "answer", "text/plain"));
}

call_limits shortLimits()
{
    call_limits limits;
    limits.connect = limits.firstByte = limits.progress = milliseconds(50);
    return limits;
}

} // namespace

Test(simulated_partitions, haveNoEffectUnlessAllowed)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness server({}, [&](exchange &incoming) {
        return countAndAnswer(served, incoming);
    });
    partitionable_client caller(simulated_partitions::forbidden);
    cr_assert_not(caller.partitionFrom({ server.address() }));
    cr_assert(caller.call(server.address(), {}).get().has_value());
}

Test(simulated_partitions, preventNewConnectionsAndReportNotRun)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness server({}, [&](exchange &incoming) {
        return countAndAnswer(served, incoming);
    });
    partitionable_client caller(simulated_partitions::allowed);
    cr_assert(caller.partitionFrom({ server.address() }));
    const auto partitioned = caller.call(server.address(), shortLimits()).get();
    cr_assert_not(partitioned.has_value());
    cr_assert(partitioned.error().outcome == verdict::not_run);
    cr_assert(caller.partitionFrom({}));
    cr_assert(caller.call(server.address(), {}).get().has_value());
    expectEqual(served.load(), 1);
}

Test(simulated_partitions, delayRequestsOnOpenConnectionsAndReportMayHaveRun)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness server({}, [&](exchange &incoming) {
        return countAndAnswer(served, incoming);
    });
    partitionable_client caller(simulated_partitions::allowed);
    cr_assert(caller.call(server.address(), {}).get().has_value());
    cr_assert(caller.partitionFrom({ server.address() }));
    const auto partitioned = caller.call(server.address(), shortLimits()).get();
    cr_assert_not(partitioned.has_value());
    cr_assert(partitioned.error().outcome == verdict::may_have_run);
    expectEqual(served.load(), 1);
    cr_assert(caller.partitionFrom({}));
    while (served.load() < 2) {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

Test(simulated_partitions, delayResponsesUntilHealed)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness server({}, [&](exchange &incoming) {
        return countAndAnswer(served, incoming);
    });
    partitionable_client caller(simulated_partitions::allowed);
    cr_assert(caller.call(server.address(), {}).get().has_value());
    cr_assert(caller.partitionFrom({ server.address() }));
    auto waiting = caller.call(server.address(), {});
    cr_assert(waiting.wait_for(milliseconds(100)) == std::future_status::timeout);
    cr_assert(caller.partitionFrom({}));
    const auto answer = waiting.get();
    cr_assert(answer.has_value());
    expectEqual(answer->body, "answer");
}

// A send that was closed, as another server had answered, went on until its deadline, and the answer was lost.
Test(simulated_partitions, endCallsThatAreClosedAtOnce)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness server({}, [&](exchange &incoming) {
        return countAndAnswer(served, incoming);
    });
    partitionable_client caller(simulated_partitions::allowed);
    cr_assert(caller.call(server.address(), {}).get().has_value());
    cr_assert(caller.partitionFrom({ server.address() }));
    std::promise<std::function<void()>> closer;
    call_limits limits = call_limits::within(milliseconds(10'000));
    limits.onConnection = [&closer](std::function<void()> close) {
        closer.set_value(std::move(close));
    };
    auto waiting = caller.call(server.address(), std::move(limits));
    caller.run(closer.get_future().get());
    cr_assert(waiting.wait_for(milliseconds(5'000)) == std::future_status::ready);
    const auto closed = waiting.get();
    cr_assert_not(closed.has_value());
    cr_assert(closed.error().code == error_code::backend_connection_lost);
    cr_assert(closed.error().outcome == verdict::may_have_run);
    expectEqual(served.load(), 1);
}
