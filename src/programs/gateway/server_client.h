#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/fleet_state.h"
#include "gateway/relay_choice.h"
#include "gateway/relay_failures.h"
#include "gateway/sent_attempt.h"
#include "http/client.h"
#include "programs/gateway/rate_limited_log.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <set>

namespace mustardtrail::gateway
{

/// What became of a question to a backend server.
struct server_reply {
    result<http::response_message> answer;
    std::optional<peer_address> relay; ///< Of the last way that was tried; none: the own path.
    bool isRefused = false; ///< The server's machine refused a connection over the own path.
};

/// Sends requests to backend servers: over this instance's own path or, where that is lost, through another instance. A relayed
/// send has the answers, errors and verdicts of a send to the server itself, and `peer_connection_lost` where the other one may have ended.
class server_client
{
public:
    server_client(boost::asio::any_io_executor executor,
        http::client &direct,
        fleet_state &state,
        const monotonic_clock &clock,
        rate_limited_log &log,
        peer_address self,
        std::uint16_t relayPort);

    /// Sends a caller's request. Sets `limits.freshConnection` as the attempt needs it.
    boost::asio::awaitable<result<std::unique_ptr<http::response_stream>>> open(
        endpoint server, http::request_message message, http::call_limits limits, std::shared_ptr<sent_attempt> attempt);
    /// Sends an order or a question of this instance; `attempt` is for the log. Answers to requests of callers, which have an id,
    /// are `backend_answer_invalid`.
    boost::asio::awaitable<result<http::response_message>> call(
        endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt);
    /// Asks the server over the own path and then through other instances, until it answers. Those in `firstRelays` go first.
    boost::asio::awaitable<server_reply> ask(
        endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt, std::set<peer_address> firstRelays);
    /// Records that a send to the server has been silent since then, which is too long.
    void recordSilence(const endpoint &server, time_point silentSince);
    /// Tries lost paths again, until the event loop ends.
    boost::asio::awaitable<void> probeLostPaths();

private:
    /// What the relays of one send say of the server.
    struct relay_signs {
        bool isHandedBack = false; ///< A relay was full, stopped or had lost its own path.
        bool isUnreached = false; ///< A relay tried and could not connect to the server, or is of an earlier release, which does not say.
    };
    using opened_answer = result<std::unique_ptr<http::response_stream>>;

    boost::asio::awaitable<opened_answer> openOnAnyPath(
        endpoint server, http::request_message message, http::call_limits limits, attempt_id attempt);
    boost::asio::awaitable<opened_answer> openDirectly(endpoint server, http::request_message message, http::call_limits limits);
    /// The error is `not_run` and `backend_connect_failed` when the relay has sent nothing to the server.
    boost::asio::awaitable<opened_answer> openThrough(
        peer_address relay, endpoint server, const http::request_message &message, http::call_limits limits, relay_signs &signs);
    void logRelayed(peer_address relay, const endpoint &server, const opened_answer &answer, const attempt_id &attempt);
    std::vector<peer_address> relaysFor(
        const endpoint &server, const std::set<peer_address> &first, relay_spread spread, time_point now) const;
    boost::asio::awaitable<result<http::response_message>> readAnswer(
        endpoint server, opened_answer opened, size_t maxBytes, attempt_id attempt);
    boost::asio::awaitable<void> probe(endpoint server);

    boost::asio::any_io_executor m_executor;
    http::client &m_direct;
    fleet_state &m_state;
    const monotonic_clock &m_clock;
    rate_limited_log &m_log;
    peer_address m_self;
    std::uint16_t m_relayPort;
    relay_failures m_relayFailures;
};

} // namespace mustardtrail::gateway
