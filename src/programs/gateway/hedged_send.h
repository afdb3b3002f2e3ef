#pragma once

#include "gateway/attempt_failure.h"
#include "gateway/placement_decision.h"
#include "gateway/stream_position.h"
#include "http/client.h"
#include "platform/response_head.h"
#include "programs/gateway/gateway_context.h"
#include "programs/gateway/reservation_set.h"

namespace mustardtrail::gateway
{

/// Second send of a request whose server has fallen silent or is slow, beside the first one. Reads the answer until it holds something
/// for the caller: the first event of a stream, or a complete plain answer.
class hedged_send : public std::enable_shared_from_this<hedged_send>
{
public:
    /// What is sent, and where.
    struct order {
        std::shared_ptr<sent_attempt> attempt;
        placement_decision placed;
        std::uint64_t workId = 0; ///< Identifies the placement in the fleet state.
        std::shared_ptr<reservation_set> reservations; ///< Null when the prompt fits on one engine.
        backend_server_id server;
        server_start_key start = 0;
        endpoint address;
        http::request_message message;
        http::call_limits limits;
        bool isStream = false;
        stream_position position; ///< Where the caller's stream must go on.
        std::optional<resend_budget::ticket> resend; ///< Given back if the send reaches no server.
        std::optional<second_copy_account::ticket> copy; ///< Set for a second copy of a request whose server is slow.
    };

    /// Called at most once, when the send has failed or has something for the caller; not after `cancel`.
    using done_hook = std::function<void()>;

    hedged_send(gateway_context &context, order sent);

    void start(boost::asio::any_io_executor executor, done_hook onDone);
    /// Closes the connection.
    void cancel();

    const order &sent() const;
    time_point sentAt() const;
    bool hasAnswer() const;
    /// Whether bytes were sent to the server.
    bool isDelivered() const;
    /// Meaningful once the send has failed.
    verdict outcome() const;
    bool isUnreachable() const;
    /// An engine granted no memory, so nothing was sent.
    bool isUnreserved() const;
    /// Head of the server's answer; without content if there was none.
    const platform::response_head &head() const;
    /// Whether the server ended the connection before the answer was complete.
    bool isCutOff() const;
    /// The answer from its first byte on. Call once.
    std::unique_ptr<http::response_stream> takeAnswer();
    /// Closes the connection of the answer; safe to call after the answer is destroyed.
    std::function<void()> closer() const;

private:
    boost::asio::awaitable<void> run();
    /// Returns the outcome of a failed send, or nothing when the answer is ready.
    boost::asio::awaitable<std::optional<verdict>> receive();
    /// False when the answer is lost or no proper one.
    boost::asio::awaitable<bool> readAhead(http::response_stream &answer, std::string &received);

    gateway_context &m_context;
    order m_sent;
    done_hook m_onDone;
    std::function<void()> m_closeConnection;
    std::unique_ptr<http::response_stream> m_answer;
    platform::response_head m_head;
    verdict m_outcome = verdict::may_have_run;
    time_point m_sentAt{};
    std::optional<answer_budget::share> m_held; ///< While the answer is read, and until it is taken.
    bool m_isDelivered = false;
    bool m_isUnreachable = false;
    bool m_isUnreserved = false;
    bool m_isCutOff = false;
    bool m_isCancelled = false;
};

} // namespace mustardtrail::gateway
