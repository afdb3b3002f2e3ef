#include "programs/gateway/gateway_host.h"

#include "gateway/memory_shares.h"
#include "gateway/stop_schedule.h"
#include "platform/response_head.h"
#include "programs/gateway/monotonic_timer.h"
#include "programs/gateway/request_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <random>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

static_assert(stop_schedule::finalAnswerTime > request_session::connectTimeout); // An attempt to connect cannot be ended sooner.

constexpr milliseconds drainPollInterval{ 20 };
constexpr milliseconds placementRetryInterval{ 16 }; ///< Mean time between placement attempts; a fraction of a batch step.
constexpr milliseconds unusableConnectionsInterval{ 250 };
constexpr size_t connectionsLookedAt = 256; ///< In each interval: a system call for each, while all other work waits.
constexpr size_t maxProbeBodyBytes = 64 * 1024;
constexpr size_t maxProbeBodiesBytes = 1024 * 1024; ///< Of all that arrive at once.
constexpr milliseconds lateLoopThreshold{ 50 }; ///< Above the delay of a timer in a process that runs undisturbed.
constexpr double configAgeFraction = 0.8; ///< Of the key revocation limit; the rest covers requests that are already running.

fleet_limits limitsFrom(const platform::instance_settings &settings, time_point now)
{
    fleet_limits limits;
    limits.resend = { settings.retryBudgetRatio, settings.retryBudgetWindow, settings.retryBudgetSlack };
    limits.resendSlackFrom = settings.isFirstStart ? now : resend_budget::slackAfterRestart(limits.resend, now);
    limits.maxConfigAge = std::chrono::duration_cast<milliseconds>(settings.keyRevocationLimit * configAgeFraction);
    return limits;
}

http::server_limits callerLimits(const platform::instance_settings &settings)
{
    http::server_limits limits;
    limits.headerBytes = caller_limits::maxHeaderBytes;
    limits.bodyBytes = caller_limits::maxBodyBytes;
    limits.totalBodyBytes = memory_shares::of(settings.memoryMegabytes).requestBodies;
    return limits;
}

http::request_limits requestLimits(const caller_limits &inForce)
{
    return { inForce.headerBytes, inForce.bodyBytes, inForce.version };
}

/// Of the platform's probes and queries, which have no bodies.
http::server_limits probeLimits()
{
    http::server_limits limits;
    limits.bodyBytes = maxProbeBodyBytes;
    limits.totalBodyBytes = maxProbeBodiesBytes;
    return limits;
}

http::response_message badRequest(int status, int, std::string_view detail)
{
    return platform::localResponse(status, std::string(detail), std::nullopt);
}

// An exception that ends a background task is a program error: the process terminates and the platform restarts it.
void rethrowFailure(std::exception_ptr failure)
{
    if (failure) {
        std::rethrow_exception(failure);
    }
}

void callHooks(const std::map<std::uint64_t, std::function<void()>> &hooks)
{
    const auto present = hooks; // A request that ends removes its hook.
    for (const auto &[id, hook] : present) {
        if (hooks.contains(id)) {
            hook();
        }
    }
}

} // namespace

gateway_host::gateway_host(asio::io_context &context, platform::instance_settings settings, http::simulated_partitions allowed)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(std::random_device{}())
    , m_log(m_clock)
    , m_client(context.get_executor(), allowed)
    , m_state(peerAddressOf(m_settings.address),
          m_settings.dataCentre,
          limitsFrom(m_settings, m_clock.now()),
          [this](std::string_view event, std::string_view subject, std::string_view detail) {
              m_log.write(log_line(event).add("subject", subject).add("detail", detail));
          })
    , m_servers(context.get_executor(), m_client, m_state, m_clock, m_log, peerAddressOf(m_settings.address), m_settings.peerPort)
    , m_shared{ m_state,
        m_client,
        m_servers,
        m_clock,
        m_random,
        m_log,
        m_metrics,
        m_settings.stallTimeout,
        [this] {
            m_peerLink.scheduleReport();
        },
        [this] {
            return m_storeReader.position();
        },
        [this](std::uint64_t era) {
            m_storeReader.onEra(era, "another instance");
        },
        [this](store_relay relay) {
            m_peerLink.relay(std::move(relay));
        },
        [this](peer_address from) {
            m_peerLink.requestMissingChanges(from);
        },
        {},
        {},
        false,
        reservation_limits::within(m_settings.unusedMemoryLimit, m_settings.freedMemoryLimit) }
    , m_peerLink(context.get_executor(),
          m_shared,
          m_settings.instance,
          m_settings.dataCentre,
          { m_settings.address, m_settings.peerPort },
          m_settings.linkBitsPerSecond,
          [this](peer_address by, const store_relay &relay, std::optional<time_point> queriedAfter) {
              m_storeReader.onRelay(by, relay, queriedAfter);
          })
    , m_storeReader(context.get_executor(),
          m_shared,
          peerAddressOf(m_settings.address),
          m_settings.store,
          { m_settings.changeApplyLimit, m_settings.reconnectLimit })
    , m_callerServer(
          context.get_executor(),
          callerLimits(m_settings),
          [this](http::exchange &exchange) {
              return serveCaller(exchange);
          },
          [this](int status, int, std::string_view problem) {
              return refuseUnread(status, problem);
          },
          { [this] {
               return requestLimits(m_state.callerLimits);
           },
              [this](const http::passed_limit &passed) {
                  return refuseBeyondLimit(passed);
              } })
    , m_readinessServer(
          context.get_executor(),
          probeLimits(),
          [this](http::exchange &exchange) {
              return serveReadiness(exchange);
          },
          badRequest)
    , m_metricsServer(
          context.get_executor(),
          probeLimits(),
          [this](http::exchange &exchange) {
              return serveMetrics(exchange);
          },
          badRequest)
    , m_relayService(context.get_executor(), m_client, m_state, m_log, memory_shares::of(m_settings.memoryMegabytes).relayedBodies)
    , m_paceReader(context.get_executor(), m_shared)
    , m_crashVerifier(context.get_executor(), m_shared)
{
    m_shared.answers.setLimit(memory_shares::of(m_settings.memoryMegabytes).answers);
    m_shared.readPace = [this](server_key server, const attempt_id &attempt) {
        m_paceReader.readPace(server, attempt);
    };
    m_shared.verifyCrash = [this](server_key server, server_start_key start, const attempt_id &attempt) {
        m_crashVerifier.verify(server, start, attempt);
    };
    m_state.onQuarantined = [this](prompt_part part) {
        for (const auto &[id, stopSending] : m_shared.onQuarantined) {
            stopSending(part);
        }
        m_shared.scheduleReport();
    };
    m_shared.queue.setShareRule([this](const prefill_by_customer &waiting, time_point now) {
        return m_state.customerUse.updateShares(waiting, now);
    });
}

void gateway_host::addSeeds(const std::vector<endpoint> &seeds)
{
    std::vector<peer_address> addresses;
    for (const endpoint &seed : seeds) {
        addresses.push_back(peerAddressOf(seed.address));
    }
    m_state.peers.addSeeds(addresses);
}

result<void> gateway_host::open()
{
    addSeeds(m_settings.seeds);
    if (auto opened = m_peerLink.open(); !opened) {
        return opened;
    }
    if (auto bound = m_readinessServer.listen(m_settings.readiness); !bound) {
        return tl::unexpected(bound.error());
    }
    if (auto bound = m_metricsServer.listen({ m_settings.address, m_settings.metricsPort }); !bound) {
        return tl::unexpected(bound.error());
    }
    if (auto bound = m_relayService.listen({ m_settings.address, m_settings.peerPort }); !bound) {
        return tl::unexpected(bound.error());
    }
    if (auto bound = m_callerServer.listen(m_settings.callers); !bound) {
        return tl::unexpected(bound.error());
    }
    return {};
}

void gateway_host::start()
{
    asio::co_spawn(m_context, m_storeReader.run(), rethrowFailure);
    asio::co_spawn(m_context, m_peerLink.receiveReports(), rethrowFailure);
    asio::co_spawn(m_context, m_peerLink.reportPeriodically(), rethrowFailure);
    asio::co_spawn(m_context, retryPlacements(), rethrowFailure);
    asio::co_spawn(m_context, m_servers.probeLostPaths(), rethrowFailure);
    asio::co_spawn(m_context, closeUnusableConnections(), rethrowFailure);
}

bool gateway_host::setPartitionedEndpoints(std::set<endpoint> endpoints)
{
    return m_client.setPartitionedEndpoints(std::move(endpoints));
}

void gateway_host::reload(const platform::instance_settings &settings)
{
    addSeeds(settings.seeds);
    m_log.write(log_line("settings_reloaded").add("seeds", static_cast<std::int64_t>(settings.seeds.size())));
}

void gateway_host::applyPolicy(const operator_policy &policy)
{
    if (policy.secondCopyLimit == m_shared.secondCopies.limit) {
        return;
    }
    m_shared.secondCopies.limit = policy.secondCopyLimit;
    m_log.write(log_line("policy_in_force").add("second_copy_limit", std::to_string(policy.secondCopyLimit)));
}

bool gateway_host::isReady() const
{
    return !m_shared.isStopping && m_state.mayServe(m_clock.now());
}

asio::awaitable<void> gateway_host::serveCaller(http::exchange &exchange)
{
    ++m_activeRequests;
    std::string problem;
    try {
        request_session session(m_shared, exchange);
        co_await session.run();
    } catch (const std::exception &thrown) {
        problem = thrown.what();
    }
    --m_activeRequests;
    if (problem.empty()) {
        co_return;
    }
    m_log.write(
        log_line("request_aborted").add("request", platform::readRequestHead(exchange.request()).attempt.str()).add("detail", problem));
    if (!exchange.hasStarted()) {
        auto answer = platform::localResponse(502, "may_have_run", std::nullopt);
        co_await exchange.respond(std::move(answer));
    }
}

// Its head may not have been read either, so the line names no request.
http::response_message gateway_host::refuseUnread(int status, std::string_view problem)
{
    m_metrics.recordRefusal("unread");
    m_log.write(log_line("request_unread").add("status", static_cast<std::int64_t>(status)).add("detail", problem));
    return badRequest(status, 0, problem);
}

http::response_message gateway_host::refuseBeyondLimit(const http::passed_limit &passed)
{
    const std::string limit(toString(passed.kind));
    m_metrics.recordRefusal("limit_" + limit);
    m_log.write(log_line("limit_passed")
                    .add("request", platform::readRequestHead(passed.head).attempt.str())
                    .add("limit", limit)
                    .add("allowed", static_cast<std::int64_t>(passed.allowed))
                    .add("sent", static_cast<std::int64_t>(passed.sent))
                    .add("config", static_cast<std::int64_t>(passed.version))
                    .add("status", static_cast<std::int64_t>(passed.status)));
    return badRequest(passed.status, 0, limit);
}

asio::awaitable<void> gateway_host::retryPlacements()
{
    monotonic_timer timer(m_context);
    while (true) {
        // Randomised, so that several instances do not try to take the same slot at the same moment.
        timer.expires_after(placementRetryInterval / 2 + milliseconds(m_random.below(placementRetryInterval.count())));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto late = std::chrono::duration_cast<milliseconds>(m_clock.now() - timer.expiry());
        if (late > lateLoopThreshold) {
            m_log.write(log_line("event_loop_late").add("late", late));
        }
        m_state.speeds.recordRunning(m_clock.now());
        m_shared.queue.tryAll(m_clock.now());
    }
}

// Connections to servers that have been replaced are used for no other request.
asio::awaitable<void> gateway_host::closeUnusableConnections()
{
    monotonic_timer timer(m_context);
    while (true) {
        timer.expires_after(unusableConnectionsInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_client.closeUnusable(connectionsLookedAt);
    }
}

asio::awaitable<void> gateway_host::stop()
{
    stop_schedule &schedule = m_shared.stopSchedule.emplace(m_clock.now(), m_settings.stopGrace);
    m_shared.isStopping = true;
    m_callerServer.disableKeepAlive();
    m_relayService.refuseRequests();
    m_log.write(log_line("stop_begins").add("running", static_cast<std::int64_t>(m_activeRequests)));
    monotonic_timer timer(m_context);
    boost::system::error_code ignored;
    timer.expires_at(schedule.acceptUntil());
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_callerServer.stop();
    m_relayService.stop();
    const auto isBusy = [this] {
        return m_activeRequests > 0 || m_callerServer.openConnections() > 0 || m_relayService.running() > 0;
    };
    do { // At least once: connections that are being accepted do not count as open yet.
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    } while (m_clock.now() < schedule.finalAnswersAt() && isBusy());
    const bool mayHoldMemory = !m_shared.onEnding.empty(); // Engines' memory is released in the background.
    endRequests();
    m_relayService.endRequests();
    schedule.beginFinalAnswers(m_clock.now());
    while ((isBusy() || mayHoldMemory) && schedule.waitsForAnswers(m_clock.now())) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        schedule.recordDelay(m_clock.now() - timer.expiry());
    }
    const bool isCut = cutRequests();
    while (isCut && schedule.waitsForReleases(m_clock.now())) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_shared.runningReleases == 0) {
            break;
        }
    }
    m_peerLink.reportLeaving();
    m_log.write(log_line("stopped").add("running", static_cast<std::int64_t>(m_activeRequests)));
    m_context.stop();
}

void gateway_host::endRequests()
{
    m_shared.isEnding = true;
    callHooks(m_shared.onEnding);
}

bool gateway_host::cutRequests()
{
    const bool areRunning = !m_shared.onProcessEnd.empty();
    callHooks(m_shared.onProcessEnd);
    return areRunning;
}

} // namespace mustardtrail::gateway
