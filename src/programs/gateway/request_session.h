#pragma once

#include "gateway/attempt_failure.h"
#include "gateway/event_splitter.h"
#include "gateway/placement_decision.h"
#include "gateway/request_placement.h"
#include "gateway/retry_rule.h"
#include "gateway/second_copy_rule.h"
#include "gateway/send_tally.h"
#include "gateway/stream_position.h"
#include "http/exchange.h"
#include "platform/request_head.h"
#include "platform/response_head.h"
#include "programs/gateway/gateway_context.h"
#include "programs/gateway/hedged_send.h"
#include "programs/gateway/monotonic_timer.h"
#include "programs/gateway/reservation_set.h"

#include <set>

namespace mustardtrail::gateway
{

/// One request of a caller, from its header to its final answer. Executes the decisions of the `gateway` library.
class request_session
{
public:
    static constexpr std::chrono::milliseconds connectTimeout{ 250 }; ///< Many times the round trip to any backend server.

    request_session(gateway_context &context, http::exchange &exchange);
    ~request_session();
    request_session(const request_session &) = delete;
    request_session &operator=(const request_session &) = delete;

    boost::asio::awaitable<void> run();

    /// A server that a prompt crashes ends within this time of its first event.
    static constexpr std::chrono::milliseconds answerEstablishedAfter{ 1'000 };

private:
    struct refusal {
        int status = 0;
        std::string reason;
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    /// Determines route and customer. Returns a refusal when the request must not be served.
    std::optional<refusal> admit();
    /// Decides where to send the request next; waits in the queue while waiting is the better choice.
    boost::asio::awaitable<placement_decision> waitForPlacement();
    placement_decision choosePlacement(time_point now);
    /// The request as the placement sees it.
    placement_subject subject() const;
    placement_decision tryPlacement(time_point now);
    /// Tells the other instances that the request waits, if it has a place in their order and they do not know yet.
    void beginWaiting(const placement_decision &decision, time_point now);
    void endWaiting(std::string_view outcome);
    void logRoomRefusal(const refusal &answer);
    void addOrderInputs(log_line &line, time_point now) const;
    /// Removes the load of the current placement, if any, from the fleet state.
    void unregisterWork();
    /// Returns nothing when the caller has received the complete answer.
    boost::asio::awaitable<std::optional<attempt_failure>> send(const placement_decision &placed);
    boost::asio::awaitable<bool> reserve(const placement_decision &placed);
    /// Null when the placement needs no reservation.
    std::shared_ptr<reservation_set> makeReservations(const placement_decision &placed, std::uint64_t workId);
    boost::asio::awaitable<std::optional<attempt_failure>> relayAnswer(http::response_stream &answer);
    boost::asio::awaitable<void> startStream(const http::response_stream &answer);
    boost::asio::awaitable<std::optional<attempt_failure>> relayStream(http::response_stream &answer);
    /// The answer does not go on where the caller's stream ends.
    attempt_failure rejectContinuation(const stream_event &event);
    boost::asio::awaitable<std::optional<attempt_failure>> relayCompleteAnswer(
        http::response_stream &answer, const platform::response_head &head);
    boost::asio::awaitable<void> finishFailed(const attempt_failure &failure, next_step step);
    boost::asio::awaitable<void> refuse(const refusal &answer);
    boost::asio::awaitable<next_step> stepAfter(attempt_failure failure);
    std::optional<resend_budget::ticket> takeResend(resend_budget::cause why, time_point now);
    /// Takes a resend for a stream that is otherwise lost; waits for a loan if the own share is used up. Returns nothing also when
    /// the request has ended meanwhile.
    boost::asio::awaitable<std::optional<resend_budget::ticket>> takeOrBorrowResend();
    /// Counts a send that reached a server.
    void countDelivery();
    /// Gives back the resend that was taken for a send which reached no server, if any.
    void giveResendBack();

    /// The answer of the current send is the largest that this instance holds, and there is no room for all.
    void onAnswerGivenUp();
    /// Ends the current send, whose answer is longer than a proper one or has no room.
    attempt_failure rejectLongAnswer(size_t bytes, verdict outcome);
    attempt_failure makeFailure(verdict outcome) const;
    attempt_failure toFailure(const error &problem) const;
    void watchCaller();
    void watchDeadline();
    /// After the time-out sends the request also to another server that can continue it; otherwise waits again.
    void watchStall(std::chrono::milliseconds timeout);
    void stopWatchingStall();
    void onStall();
    void recordSilence();
    bool mayHedge();
    /// Returns false while no other server can take the request.
    bool startHedge();
    void launchHedge(const placement_decision &placed,
        const server_directory::known_server &server,
        const std::optional<resend_budget::ticket> &resend,
        std::optional<second_copy_account::ticket> copy,
        time_point now);
    void onHedgeDone(const hedged_send *done);
    /// The hedged send that has something for the caller, or null.
    std::shared_ptr<hedged_send> answeredHedge() const;
    void dropHedges(std::string_view why);
    void dropHedge(hedged_send &hedge, std::string_view why);
    /// Whether a hedged send has an answer; waits until that is known.
    boost::asio::awaitable<bool> waitForHedge();
    /// Makes the hedged send the current one and relays its answer.
    boost::asio::awaitable<std::optional<attempt_failure>> continueWithHedge();
    /// Sends a second copy when the current send, which has just begun, turns out to be slow. Does nothing unless copies are
    /// enabled and the request may be repeated.
    void watchForCopy(const placement_decision &placed);
    void watchForCopyUntil(time_point due);
    void stopWatchingForCopy();
    /// The current send has taken longer than most.
    void onSlow();
    /// Ends a copy that takes longer than this once the copies exceed their limit.
    void watchCopyAge(std::chrono::microseconds delay);
    void onCopyOverdue();
    /// Where a copy would go; never to a server that is unfit for copies.
    placement_decision placeCopy(time_point now);
    second_copy_state copyState(const placement_decision &copy, time_point now);
    std::chrono::microseconds copyWork(const placement_decision &copy, time_point now) const;
    void logCopyDecision(const second_copy_state &state, const second_copy_verdict &verdict, std::string_view server, time_point now);
    /// Counts the end of a hedged send that is a second copy.
    void recordCopyEnd(hedged_send &hedge, bool isWon);
    /// Counts a race that the first send lost although its answer was on the way.
    void recordLateLoser(const hedged_send &winner);
    /// Counts the time that the current send took to its answer, for a stream to its first event.
    void recordLatency(time_point now);
    bool countsLatency() const;
    std::int64_t requestSize() const;
    /// Releases what the current send holds.
    void finishSend();
    retry_state retryState(time_point now);
    /// Records what the head of a server's answer says of the server itself.
    void recordServerNotices(const platform::response_head &head, server_key server, server_start_key start);
    void interrupt();
    /// The process is about to end: a request whose answer has not begun gets its final answer now.
    void onEnding();
    /// Refuses a request that this instance, which stops, cannot finish as placed; it may not have begun to run.
    std::optional<placement_decision> refuseUnlessItCanFinish(const placement_decision &placed, time_point now) const;
    /// Records how long the stream, which is complete, took from its first event.
    void recordStreamLength();
    /// The process ends now: a request without a final line gets it, and what it holds at backend servers is released.
    void onProcessEnd();
    /// Ends the current send: its prompt has no memory at the engines any more.
    void onReservationGivenUp();
    std::chrono::milliseconds firstEventTimeout(const placement_decision &placed) const;
    std::chrono::milliseconds stallTimeout() const;
    http::call_limits limitsFor(time_point now);
    http::request_message messageFor(const placement_decision &placed, const reservation_set *reservations, time_point now) const;
    /// Urgency of the request; the same for all where the service does not distinguish it.
    int urgency() const;
    /// Urgency that the engine is told, if any.
    std::optional<int> engineUrgency() const;
    queue_priority queuePriority() const;
    /// Whether the request is placed in the order of the queue, even if there is capacity when it arrives.
    bool mustQueue() const;
    /// Counts the prefill of the placement as use by the customer.
    void recordCustomerUse(const placement_decision &placed, time_point now);
    void recordEvents(time_point now);
    /// Measures the engine's speed by a send that it answers alone.
    void recordSpeedOfSend(const placement_decision &placed, time_point now);
    void recordFirstEventOfSend(time_point now);
    /// Returns the id of the work in the fleet state.
    std::uint64_t registerWork(const placement_decision &placed, time_point now);
    void recordFailure(const placement_decision &placed, const attempt_failure &failure);
    /// Whether the connection of the failed send ended, and not because this instance closed it.
    placement_decision placeAfterRelayLoss(time_point now);
    /// Servers that may have run the request if all current sends have.
    unsigned possibleRunsWithSends() const;
    bool isConnectionLost(const attempt_failure &failure) const;
    /// Takes the end of the server as evidence against the parts of the prompt.
    void recordServerEnd(const attempt_failure &failure, time_point now);
    void recordCrash(server_key server, server_start_key start, const std::string &serverId, time_point sentAt, time_point now);
    /// Whether the current send has been answered for so long that its prompt cannot be what crashes the server.
    bool isAnswerEstablished(time_point now) const;
    void onQuarantined(prompt_part part);
    /// Refuses a request whose parts are in quarantine; a trial of them is allowed once.
    std::optional<placement_decision> quarantineDecision(time_point now) const;
    /// Counts a failed send.
    void countRun(const attempt_failure &failure);
    /// The failure of a send whose prompt got no memory at an engine.
    attempt_failure makeUnreserved();
    /// The engine that refused memory is not tried again soon.
    void excludeRefusing(const reservation_set &reservations);
    /// If the request is otherwise lost, servers that did not run it are tried again.
    void readmitServers(time_point now);
    boost::asio::awaitable<void> pauseBeforeSend();
    /// Why there is no further send as far as time and the failed sends decide; empty if there may be one.
    std::string_view limitOfSends(time_point now) const;
    std::string sharedPartsText() const;
    void logResendDenied(std::string_view why);
    /// Writes the final line of the request; only the first call has an effect.
    void logOutcome(std::string_view event, int status, std::string_view reason);
    std::chrono::milliseconds age(time_point now) const;

    static constexpr size_t maxAnswerBytes = 8 * 1024 * 1024; ///< Limit of the body of an answer.
    static constexpr std::string_view instanceEnds = "instance_ends"; ///< Reason of refusals, value of `m_closedBecause`.
    static constexpr std::string_view copyAnswered = "copy_answered"; ///< Value of `m_closedBecause`.

    gateway_context &m_context;
    http::exchange &m_exchange;
    platform::request_head m_head;
    std::shared_ptr<sent_attempt> m_attempt;
    std::shared_ptr<const route_table> m_routes;
    const route *m_route = nullptr;
    service_id m_service;
    service_policy m_policy; ///< Of the service.
    customer_id m_customer;
    time_point m_arrivedAt{};
    time_point m_deadlineAt{};
    monotonic_timer m_placementTimer;
    monotonic_timer m_deadlineTimer;
    monotonic_timer m_stallTimer;
    monotonic_timer m_hedgeTimer; ///< Cancelled when a hedged send is done.
    monotonic_timer m_copyTimer; ///< Not started unless second copies are enabled.
    request_placement m_placement;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::function<void()> m_closeConnection;
    bool m_isCallerGone = false;
    bool m_isDeadlinePassed = false;
    bool m_hasOutcome = false; ///< Its final line has been written.
    bool m_mayHaveRun = false;
    std::set<backend_server_id> m_possibleRuns; ///< Servers that may have run it.
    std::optional<backend_server_id>
        m_resendTo; ///< The send to it lost its relay; until one reaches a server, the next goes there if it can.
    unsigned m_deliveredSends = 0; ///< Sends that reached a server.
    std::optional<resend_budget::ticket> m_resend; ///< Of the current send, until it has reached a server.
    unsigned m_sends = 0;
    send_tally m_failedSends;
    std::uint64_t m_workId = 0; ///< Identifies the current placement in the fleet state; 0: none.
    std::set<backend_server_id> m_excluded; ///< Not eligible next: failed servers, and servers that refused since the last failure.
    std::set<backend_server_id> m_failed; ///< Servers that failed and may have run the request.
    std::optional<time_point> m_waitsSince; ///< Set while the other instances are told of its place in the order.
    server_key m_currentServer = 0; ///< Server of the current send.
    bool m_isStallExtended = false;
    unsigned m_stallWatch = 0; ///< Number of the current watch for a stall.
    unsigned m_copyWatch = 0; ///< Number of the current watch for a slow send.
    std::chrono::microseconds m_firstForecast{ 0 }; ///< Of the current send: predicted time to its first event.
    std::string m_lastServer;
    std::string m_faultyServer;
    std::string_view m_closedBecause; ///< Why this instance ended the current send itself; empty if it did not.
    event_splitter m_events;
    stream_position m_position; ///< In the caller's stream, after the last event that was delivered.
    std::optional<time_point> m_firstEventAt;
    time_point m_lastEventAt{};
    std::vector<prompt_part> m_parts; ///< Parts of the prompt; of a request without parts, the request as a whole.
    bool m_isTrial = false; ///< The current send finds out whether a part still crashes servers.
    std::uint64_t m_hook = 0; ///< Of this request in the context.
    server_start_key m_currentStart = 0; ///< Start of the server of the current send.
    time_point m_sentAt{}; ///< Of the current send.
    std::optional<time_point> m_firstEventOfSendAt; ///< Of the current send.
    engine_forecast m_forecast; ///< Of the last send that one engine answers alone.
    std::chrono::milliseconds m_longestGap{ 0 }; ///< Between two events.
    std::shared_ptr<reservation_set> m_reservations; ///< Null when the prompt fits on one engine.
    std::vector<std::shared_ptr<hedged_send>> m_hedges; ///< Empty while one send runs alone.
    std::unique_ptr<answer_budget::share> m_heldFailure; ///< Of `m_serverFailure`.
    std::optional<http::response_message> m_serverFailure; ///< Error answer of a server that may be passed on to the caller.
};

} // namespace mustardtrail::gateway
