#include "programs/gateway/store_reader.h"

#include "host/log.h"
#include "http/server.h"
#include "platform/header_names.h"
#include "programs/gateway/relayed_changes.h"
#include "programs/gateway/tests/ending_context.h"
#include "programs/gateway/tests/fake_platform.h"
#include "programs/gateway/tests/worker_gate.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace
{

constexpr peer_address self = 2;
constexpr peer_address reader = 1;

/// More than is decoded on the event loop, as an answer and as a relay.
std::string largeConfig(unsigned version)
{
    random_source random(version);
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"services":[],"routes":[)";
    for (unsigned index = 0; index < 400; ++index) {
        const std::string name = std::to_string(random.below(1'000'000'000));
        text += index > 0 ? "," : "";
        text += R"({"name":"r-)" + name + R"(","host":"h.example","path_prefix":"/)" + name + R"(/","kind":"idempotent","service":"s"})";
    }
    return text + "]}";
}

std::string itemOf(unsigned version, std::uint64_t revision)
{
    namespace codec = boost::beast::detail::base64;
    const std::string value = largeConfig(version);
    std::string encoded(codec::encoded_size(value.size()), '\0');
    encoded.resize(codec::encode(encoded.data(), value.data(), value.size()));
    return R"({"key":"op/config","revision":)" + std::to_string(revision) + R"(,"value":")" + encoded + "\"}";
}

store_relay relayOf(std::uint64_t from, std::uint64_t to, unsigned version)
{
    store_relay relay;
    relay.era = 1;
    relay.fromRevision = from;
    relay.toRevision = to;
    relay.changes = encodeRelayedChanges({ { "op/config", largeConfig(version), to, false } });
    return relay;
}

/// A reader with a store that answers what the test says.
class store_bench
{
public:
    store_bench()
        : m_random(7)
        , m_log(m_clock)
        , m_state(self, data_centre_id("dc"), fleet_limits(), [](std::string_view, std::string_view, std::string_view) {})
        , m_client(m_loop.get_executor(), http::simulated_partitions::allowed)
        , m_servers(m_loop.get_executor(), m_client, m_state, m_clock, m_log, self, 0)
        , m_context{ m_state,
            m_client,
            m_servers,
            m_clock,
            m_random,
            m_log,
            m_metrics,
            milliseconds(500),
            [] {},
            nullptr,
            nullptr,
            [](const store_relay &) {},
            [this](peer_address) {
                ++missing;
            },
            {},
            {},
            false,
            {} }
        , m_store(
              m_loop.get_executor(),
              http::server_limits(),
              [this](http::exchange &exchange) {
                  return serveStore(exchange);
              },
              [](int, int, std::string_view) {
                  return http::response_message();
              })
        , worker(m_loop.get_executor())
        , subject(m_loop.get_executor(),
              m_context,
              worker,
              self,
              *m_store.listen({ "127.0.0.1", 0 }),
              { milliseconds(3'000), milliseconds(3'000) })
    {
        host::openLog(host::log_level::warning, "gateway_test");
        asio::co_spawn(m_loop, subject.run(), asio::detached);
        runUntil([this] {
            return version() == 1;
        });
        runFor(milliseconds(20));
    }

    ~store_bench()
    {
        m_loop.destroyHandlers();
    }

    store_bench(const store_bench &) = delete;
    store_bench &operator=(const store_bench &) = delete;

    void runFor(milliseconds time)
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    void runUntil(const std::function<bool()> &isReached)
    {
        for (int steps = 0; steps < 1'000 && !isReached(); ++steps) {
            runFor(milliseconds(10));
        }
        cr_assert(isReached());
    }

    std::uint64_t version() const
    {
        return m_state.configVersion();
    }

    /// Whether the configuration is confirmed for the time after `since`.
    bool isConfirmedSince(time_point since) const
    {
        return m_state.freshness.confirmedAt() >= since;
    }

    time_point now() const
    {
        return m_clock.now();
    }

    std::string list = R"({"items":[)" + itemOf(1, 5) + R"(],"has_more":false,"store_revision":5})";
    std::string changes; ///< Answer to each query for changes that comes from now on; it waits while this is empty.
    unsigned era = 1;
    int missing = 0; ///< Times that another instance was asked for changes.

private:
    asio::awaitable<void> serveStore(http::exchange &exchange)
    {
        constexpr int maxWaits = 40;
        const bool isList = exchange.request().path() == "/api/kv-range";
        const std::string after(exchange.request().query("after"));
        for (int waits = 0; !isList && changes.empty() && waits < maxWaits; ++waits) {
            asio::steady_timer wait(exchange.executor(), milliseconds(10));
            co_await wait.async_wait(asio::use_awaitable);
        }
        http::response_message answer;
        answer.status = 200;
        answer.body = R"({"events":[],"store_revision":)" + after + "}";
        if (isList) {
            answer.body = list;
        } else if (!changes.empty()) {
            answer.body = changes;
        }
        answer.headers.add(std::string(platform::header::storeEra), std::to_string(era));
        co_await exchange.respond(std::move(answer));
    }

    ending_context m_loop;
    system_monotonic_clock m_clock;
    random_source m_random;
    rate_limited_log m_log;
    gateway_metrics m_metrics;
    fleet_state m_state;
    http::client m_client;
    server_client m_servers;
    gateway_context m_context;
    http::server m_store;

public:
    background_worker worker;
    store_reader subject;
};

std::string answerWith(unsigned version, std::uint64_t revision)
{
    return R"({"events":[)" + itemOf(version, revision) + R"(],"store_revision":)" + std::to_string(revision) + "}";
}

} // namespace

// A relay that overtakes the change before it counts as one with a gap.
Test(store_reader, relaysAndAnOwnAnswerTakeEffectInTheirOrder)
{
    store_bench bench;
    worker_gate gate(bench.worker);
    bench.subject.onRelay(reader, relayOf(5, 6, 2), std::nullopt);
    bench.subject.onRelay(reader, relayOf(6, 7, 3), std::nullopt);
    bench.changes = answerWith(4, 8);
    bench.runFor(milliseconds(100));
    expectEqual(bench.version(), 1U);
    expectEqual(bench.subject.position().revision, 5U);
    gate.open();
    bench.runUntil([&bench] {
        return bench.version() == 4;
    });
    expectEqual(bench.subject.position().revision, 8U);
    expectEqual(bench.missing, 0);
}

// Two instances relay the same change when the reader is replaced.
Test(store_reader, aRelayOfAChangeThatIsBeingDecodedIsAppliedOnce)
{
    store_bench bench;
    worker_gate gate(bench.worker);
    bench.subject.onRelay(reader, relayOf(5, 6, 2), std::nullopt);
    bench.subject.onRelay(reader, relayOf(4, 6, 2), std::nullopt);
    bench.runFor(milliseconds(20));
    gate.open();
    bench.runUntil([&bench] {
        return bench.version() == 2;
    });
    bench.runFor(milliseconds(20));
    expectEqual(bench.worker.unfinished(), 0U);
    expectEqual(bench.subject.position().revision, 6U);
    expectEqual(bench.missing, 0);
}

// Otherwise a key that the change takes away would count as confirmed before the change is in force.
Test(store_reader, aChangeConfirmsTheConfigurationOnlyOnceItIsInForce)
{
    store_bench bench;
    worker_gate gate(bench.worker);
    const time_point queriedAfter = bench.now();
    bench.subject.onRelay(reader, relayOf(5, 6, 2), queriedAfter);
    bench.runFor(milliseconds(20));
    cr_assert_not(bench.isConfirmedSince(queriedAfter));
    gate.open();
    bench.runUntil([&bench] {
        return bench.version() == 2;
    });
    cr_assert(bench.isConfirmedSince(queriedAfter));
}

// The change of the earlier era would hide the one with the same version of the restored store.
Test(store_reader, aChangeOfTheStoreBeforeItsRestoreIsDroppedThoughItWasBeingDecoded)
{
    store_bench bench;
    worker_gate gate(bench.worker);
    bench.changes = answerWith(3, 9);
    bench.runUntil([&bench] {
        return bench.worker.unfinished() == 2;
    });
    bench.subject.onRelay(reader, relayOf(5, 6, 4), std::nullopt);
    bench.changes.clear();
    bench.era = 2;
    bench.list = R"({"items":[)" + itemOf(2, 6) + R"(],"has_more":false,"store_revision":6})";
    bench.subject.onEra(2, "another instance");
    gate.open();
    bench.runUntil([&bench] {
        return bench.version() > 1;
    });
    bench.runFor(milliseconds(50));
    expectEqual(bench.version(), 2U);
    expectEqual(bench.subject.position().era, 2U);
    expectEqual(bench.subject.position().revision, 6U);
}

Test(store_reader, aLargeAnswerThatCannotBeReadChangesNothingAndIsAskedForAgain)
{
    store_bench bench;
    bench.changes = answerWith(2, 6);
    bench.changes.pop_back();
    bench.runFor(milliseconds(200));
    expectEqual(bench.version(), 1U);
    expectEqual(bench.subject.position().revision, 5U);
    bench.changes = answerWith(2, 6);
    bench.runUntil([&bench] {
        return bench.version() == 2;
    });
}

Test(store_reader, damagedBytesOfALargeRelayAreAskedForAgain)
{
    store_bench bench;
    store_relay relay = relayOf(5, 6, 2);
    relay.changes->resize(relay.changes->size() / 2);
    bench.subject.onRelay(reader, relay, std::nullopt);
    bench.runUntil([&bench] {
        return bench.missing == 1;
    });
    expectEqual(bench.version(), 1U);
    expectEqual(bench.subject.position().revision, 5U);
}

// Each relay that waits holds its bytes, and expands to megabytes.
Test(store_reader, keepsABoundedNumberOfRelays)
{
    store_bench bench;
    worker_gate gate(bench.worker);
    for (unsigned count = 0; count < 20; ++count) {
        bench.subject.onRelay(reader, relayOf(5 + count, 6 + count, 2 + count), std::nullopt);
    }
    cr_assert_gt(bench.missing, 0);
    bench.changes = answerWith(30, 40);
    gate.open();
    bench.runUntil([&bench] {
        return bench.version() == 30;
    });
}
