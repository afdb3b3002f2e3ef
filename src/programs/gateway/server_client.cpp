#include "programs/gateway/server_client.h"

#include "gateway/path_plan.h"
#include "platform/response_head.h"
#include "programs/gateway/monotonic_timer.h"
#include "programs/gateway/relay_fields.h"
#include "programs/gateway/relayed_answer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds relayConnectTimeout{ 100 }; ///< Other instances are near, and known to be alive.
constexpr milliseconds probeTimeout{ 250 };
constexpr size_t maxCallAnswerBytes = 256 * 1024; ///< Far more than a report, or the answer to an order.
constexpr milliseconds probeInterval{ 100 }; ///< Between looks for a path that is due.

bool isUnsent(const error &problem)
{
    return problem.outcome == verdict::not_run;
}

// The fields go before the caller's own, which may have the same names.
http::request_message addressedTo(const endpoint &server, const http::request_message &message, bool needsNewConnection)
{
    const std::string_view connection = needsNewConnection ? relay_field::isNew : relay_field::isReused;
    http::request_message addressed = message;
    addressed.headers = { { std::string(relay_field::server), toString(server) },
        { std::string(relay_field::connection), std::string(connection) },
        { std::string(relay_field::end), std::string(relay_field::isMarked) } };
    for (const auto &[name, value] : message.headers.fields()) {
        addressed.headers.add(name, value);
    }
    return addressed;
}

// Once a path counts as lost, those that are cut off as well have found out too, and have told it.
relay_spread spreadAfter(bool wasOwnPathUsed)
{
    return wasOwnPathUsed ? relay_spread::across : relay_spread::same_order;
}

std::string textOf(peer_address instance)
{
    return asio::ip::address_v4(instance).to_string();
}

} // namespace

server_client::server_client(asio::any_io_executor executor,
    http::client &direct,
    fleet_state &state,
    const monotonic_clock &clock,
    rate_limited_log &log,
    peer_address self,
    std::uint16_t relayPort)
    : m_executor(std::move(executor))
    , m_direct(direct)
    , m_state(state)
    , m_clock(clock)
    , m_log(log)
    , m_self(self)
    , m_relayPort(relayPort)
{
}

asio::awaitable<server_client::opened_answer> server_client::open(
    endpoint server, http::request_message message, http::call_limits limits, std::shared_ptr<sent_attempt> attempt)
{
    limits.freshConnection = attempt->recordSend(server);
    co_return co_await openOnAnyPath(std::move(server), std::move(message), std::move(limits), attempt->id());
}

asio::awaitable<server_client::opened_answer> server_client::openOnAnyPath(
    endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt)
{
    const bool mayUseOwnPath = m_state.paths.mayUseOwnPath(server, m_clock.now());
    path_plan plan(mayUseOwnPath, [this, server, spread = spreadAfter(mayUseOwnPath)] {
        return relaysFor(server, {}, spread, m_clock.now());
    });
    opened_answer answer = tl::unexpected(error{ error_code::backend_connect_failed, verdict::not_run, {}, {} });
    bool hasOwnPathFailed = false;
    relay_signs signs;
    while (const auto way = plan.next()) {
        if (way->relay) {
            answer = co_await openThrough(*way->relay, server, message, limits, signs);
            logRelayed(*way->relay, server, answer, attempt);
        } else {
            answer = co_await openDirectly(server, message, limits);
        }
        const bool isUnreached = !answer && answer.error().code == error_code::backend_connect_failed && isUnsent(answer.error());
        if (!isUnreached) {
            if (way->relay && hasOwnPathFailed) {
                m_direct.closeIdle(server);
                m_state.recordLostPath(server, m_clock.now());
            }
            break;
        }
        hasOwnPathFailed = hasOwnPathFailed || !way->relay;
        if (signs.isHandedBack && !signs.isUnreached) {
            answer.error().code = error_code::peer_connect_failed; // Nobody else has tried to reach the server.
        }
    }
    co_return answer;
}

void server_client::logRelayed(peer_address relay, const endpoint &server, const opened_answer &answer, const attempt_id &attempt)
{
    m_log.write(log_line("send_relayed")
                    .add("request", attempt.str())
                    .add("server", toString(server))
                    .add("relay", textOf(relay))
                    .add("allPathsLost", m_state.paths.areAllLost() ? "yes" : "no")
                    .add("outcome", answer ? "answered" : toString(answer.error().outcome))
                    .add("error", answer ? "" : answer.error().detail));
}

asio::awaitable<server_client::opened_answer> server_client::openDirectly(
    endpoint server, http::request_message message, http::call_limits limits)
{
    limits.onOpened = [this, server] {
        m_state.paths.recordConnected(server);
    };
    limits.onBytes = [this, server] {
        m_state.paths.recordHeard(server, m_clock.now());
    };
    auto answer = co_await m_direct.open(server, std::move(message), std::move(limits));
    if (answer) {
        m_state.paths.recordHeard(server, m_clock.now());
    }
    co_return answer;
}

std::vector<peer_address> server_client::relaysFor(
    const endpoint &server, const std::set<peer_address> &first, relay_spread spread, time_point now) const
{
    auto candidates = m_state.relayCandidates(now);
    for (relay_candidate &each : candidates) {
        each.hasFailed = m_relayFailures.hasFailed(each.instance, server, now);
        each.hasHeardServer = first.contains(each.instance);
    }
    return chooseRelays(candidates, toString(server), m_self, spread);
}

asio::awaitable<server_client::opened_answer> server_client::openThrough(
    peer_address relay, endpoint server, const http::request_message &message, http::call_limits limits, relay_signs &signs)
{
    http::request_message relayed = addressedTo(server, message, limits.freshConnection);
    const endpoint relayAddress{ textOf(relay), m_relayPort };
    limits.connect = std::min(limits.connect, relayConnectTimeout);
    limits.onRefused = {}; // Of the server, not of the relay.
    limits.freshConnection = false; // Instances answer in order; it is the relay's connection to the server that must be new.
    const auto isClosedHere = std::make_shared<bool>(false);
    if (limits.onConnection) {
        limits.onConnection = [isClosedHere, onConnection = limits.onConnection](std::function<void()> close) {
            onConnection([isClosedHere, close = std::move(close)] {
                *isClosedHere = true;
                close();
            });
        };
    }
    auto answer = co_await m_direct.open(relayAddress, std::move(relayed), std::move(limits));
    const time_point now = m_clock.now();
    if (!answer) {
        m_relayFailures.recordFailed(relay, now);
        error_code &code = answer.error().code;
        if (isUnsent(answer.error())) {
            code = error_code::backend_connect_failed;
        } else if (code == error_code::backend_connection_lost) {
            code = error_code::peer_connection_lost;
        }
        co_return answer;
    }
    const std::string_view outcome = (*answer)->headers().find(relay_field::outcome);
    if (outcome == relay_field::passedOn) {
        co_return std::make_unique<relayed_answer>(std::move(*answer), [this, relay, isClosedHere] {
            if (!*isClosedHere) {
                m_relayFailures.recordFailed(relay, m_clock.now());
            }
        });
    }
    if (outcome == relay_field::notRun) {
        const bool isHandedBack = (*answer)->headers().find(relay_field::reason) == relay_field::handedBack;
        signs.isUnreached = signs.isUnreached || !isHandedBack;
        signs.isHandedBack = signs.isHandedBack || isHandedBack;
        if (isHandedBack) {
            m_relayFailures.recordHandedBack(relay, now);
        } else {
            m_relayFailures.recordUnreached(relay, server, now);
        }
        co_return tl::unexpected(
            error{ error_code::backend_connect_failed, verdict::not_run, "peer=" + toString(server) + " relay=" + textOf(relay), {} });
    }
    co_return tl::unexpected(
        error{ error_code::backend_connection_lost, verdict::may_have_run, "peer=" + toString(server) + " relay=" + textOf(relay), {} });
}

asio::awaitable<result<http::response_message>> server_client::call(
    endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt)
{
    const size_t maxBytes = std::min(limits.bodyBytes, maxCallAnswerBytes);
    auto opened = co_await openOnAnyPath(server, std::move(message), std::move(limits), attempt);
    co_return co_await readAnswer(server, std::move(opened), maxBytes, attempt);
}

asio::awaitable<result<http::response_message>> server_client::readAnswer(
    endpoint server, opened_answer opened, size_t maxBytes, attempt_id attempt)
{
    if (!opened) {
        co_return tl::unexpected(opened.error());
    }
    const auto head = platform::readResponseHead(**opened, attempt_id());
    if (head.isForOtherRequest) {
        const std::string detail = "peer=" + toString(server) + " answer to a request";
        m_log.write(log_line("order_answer_dropped").add("request", attempt.str()).add("server", toString(server)));
        co_return tl::unexpected(error{ error_code::backend_answer_invalid, head.outcome, detail, {} });
    }
    co_return co_await http::readWhole(**opened, maxBytes);
}

// A question may be put more than once, so any failure leads to the next way: a path that resets connections lets them open first.
asio::awaitable<server_reply> server_client::ask(
    endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt, std::set<peer_address> firstRelays)
{
    const size_t maxBytes = std::min(limits.bodyBytes, maxCallAnswerBytes);
    const bool mayUseOwnPath = m_state.paths.mayUseOwnPath(server, m_clock.now());
    path_plan plan(mayUseOwnPath, [this, server, firstRelays, spread = spreadAfter(mayUseOwnPath)] {
        return relaysFor(server, firstRelays, spread, m_clock.now());
    });
    server_reply reply{ tl::unexpected(error{ error_code::backend_connect_failed, verdict::not_run, {}, {} }), {}, false };
    relay_signs signs;
    limits.onRefused = [&reply] {
        reply.isRefused = true;
    };
    while (const auto way = plan.next()) {
        reply.relay = way->relay;
        opened_answer opened;
        if (way->relay) {
            opened = co_await openThrough(*way->relay, server, message, limits, signs);
            logRelayed(*way->relay, server, opened, attempt);
        } else {
            opened = co_await openDirectly(server, message, limits);
        }
        reply.answer = co_await readAnswer(server, std::move(opened), maxBytes, attempt);
        if (reply.answer) {
            break;
        }
        if (way->relay) {
            m_relayFailures.recordUnreached(*way->relay, server, m_clock.now());
        }
    }
    co_return reply;
}

void server_client::recordSilence(const endpoint &server, time_point silentSince)
{
    const time_point now = m_clock.now();
    if (m_state.paths.mayUseOwnPath(server, now)) {
        if (m_state.paths.recordSilent(server, silentSince, now)) {
            m_direct.closeIdle(server);
        }
        return;
    }
    if (const auto relays = relaysFor(server, {}, relay_spread::same_order, now); !relays.empty()) {
        m_relayFailures.recordUnreached(relays.front(), server, now);
    }
}

asio::awaitable<void> server_client::probeLostPaths()
{
    monotonic_timer timer(m_executor);
    while (true) {
        timer.expires_after(probeInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const time_point now = m_clock.now();
        m_relayFailures.expire(now);
        while (const auto due = m_state.paths.takeProbe(now)) {
            asio::co_spawn(m_executor, probe(*due), asio::detached);
        }
    }
}

asio::awaitable<void> server_client::probe(endpoint server)
{
    const auto opened = co_await m_direct.openIdle(server, probeTimeout);
    const bool wereAllLost = m_state.paths.areAllLost();
    if (opened) {
        m_state.paths.recordConnected(server);
    }
    m_log.write(log_line("server_path_probed")
                    .add("server", toString(server))
                    .add("reached", opened ? "yes" : "no")
                    .add("allPathsLost", wereAllLost ? "yes" : "no")
                    .add("detail", opened ? "" : opened.error().detail));
}

} // namespace mustardtrail::gateway
