#include "programs/gateway/hedged_send.h"

#include "gateway/event_splitter.h"
#include "programs/gateway/long_answer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

namespace
{

/// Answer of which some bytes were read before.
class prefetched_answer final : public http::response_stream
{
public:
    prefetched_answer(std::unique_ptr<http::response_stream> rest, std::string prefetched)
        : m_rest(std::move(rest))
        , m_prefetched(std::move(prefetched))
    {
    }

    int status() const override
    {
        return m_rest->status();
    }
    const http::header_list &headers() const override
    {
        return m_rest->headers();
    }
    bool endsWithConnection() const override
    {
        return m_rest->endsWithConnection();
    }
    std::string_view trailer(std::string_view name) const override
    {
        return m_rest->trailer(name);
    }
    bool isOnReusedConnection() const override
    {
        return m_rest->isOnReusedConnection();
    }
    asio::awaitable<result<std::string>> read() override
    {
        if (!m_prefetched.empty()) {
            co_return std::exchange(m_prefetched, {});
        }
        co_return co_await m_rest->read();
    }
    void close() override
    {
        m_rest->close();
    }

private:
    std::unique_ptr<http::response_stream> m_rest;
    std::string m_prefetched;
};

} // namespace

hedged_send::hedged_send(gateway_context &context, order sent)
    : m_context(context)
    , m_sent(std::move(sent))
    , m_sentAt(context.clock.now())
{
}

void hedged_send::start(asio::any_io_executor executor, done_hook onDone)
{
    m_onDone = std::move(onDone);
    m_sent.limits.onConnection = [weak = weak_from_this()](std::function<void()> close) {
        if (const auto self = weak.lock()) {
            self->m_isDelivered = !self->m_isCancelled;
            self->m_closeConnection = std::move(close);
            if (self->m_isCancelled) {
                self->m_closeConnection();
            }
        }
    };
    asio::co_spawn(executor, run(), asio::detached);
}

void hedged_send::cancel()
{
    m_isCancelled = true;
    m_onDone = nullptr;
    if (m_closeConnection) {
        m_closeConnection();
    }
}

asio::awaitable<void> hedged_send::run()
{
    const auto self = shared_from_this();
    std::optional<verdict> failed = verdict::may_have_run;
    try {
        failed = co_await receive();
    } catch (const std::exception &thrown) {
        m_context.log.write(log_line("hedge_aborted").add("request", m_sent.attempt->id().str()).add("detail", thrown.what()));
    }
    m_outcome = failed.value_or(verdict::ran);
    if (failed) {
        m_held.reset();
    }
    if (const auto onDone = std::exchange(m_onDone, nullptr)) {
        onDone();
    }
}

asio::awaitable<std::optional<verdict>> hedged_send::receive()
{
    if (m_sent.reservations) {
        m_sent.reservations->onGivenUp([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_closeConnection) {
                self->m_closeConnection();
            }
        });
        const bool isGranted = co_await m_sent.reservations->acquire();
        if (!isGranted) {
            m_isUnreserved = true;
            co_return verdict::not_run;
        }
    }
    if (m_isCancelled) {
        co_return verdict::not_run;
    }
    auto message = std::move(m_sent.message);
    auto limits = m_sent.limits;
    auto answer = co_await m_context.servers.open(m_sent.address, std::move(message), std::move(limits), m_sent.attempt);
    if (!answer) {
        m_isDelivered = m_isDelivered && answer.error().outcome != verdict::not_run;
        m_isUnreachable = answer.error().code == error_code::backend_connect_failed;
        m_isCutOff = answer.error().code == error_code::backend_connection_lost && m_isDelivered;
        co_return answer.error().outcome;
    }
    m_head = platform::readResponseHead(**answer, m_sent.attempt->id());
    if (!m_head.isSuccess) {
        co_return m_head.outcome;
    }
    std::string received;
    const bool isReadable = co_await readAhead(**answer, received);
    if (!isReadable || m_isCancelled) {
        co_return verdict::may_have_run;
    }
    if (m_sent.reservations) {
        m_sent.reservations->recordUse();
    }
    if (!m_held->finish()) {
        recordLongAnswer(m_context, m_sent.attempt->id(), m_sent.server.str(), received.size());
        co_return verdict::may_have_run;
    }
    m_answer = std::make_unique<prefetched_answer>(std::move(*answer), std::move(received));
    co_return std::nullopt;
}

asio::awaitable<bool> hedged_send::readAhead(http::response_stream &answer, std::string &received)
{
    event_splitter events;
    m_sent.position.beginAnswer();
    m_held.emplace(m_context.answers, [this] {
        if (m_closeConnection) {
            m_closeConnection();
        }
    });
    while (true) {
        const auto bytes = co_await answer.read();
        if (m_held->isGivenUp()) {
            recordLongAnswer(m_context, m_sent.attempt->id(), m_sent.server.str(), received.size());
            co_return false;
        }
        if (!bytes) {
            m_isCutOff = !m_isCancelled && bytes.error().code == error_code::backend_connection_lost;
            co_return false;
        }
        received += *bytes;
        if (m_sent.isStream) {
            events.append(*bytes);
        }
        while (const auto event = events.next()) {
            if (!m_sent.position.mayFollow(*event)) {
                m_context.log.write(log_line("continuation_rejected")
                                        .add("request", m_sent.attempt->id().str())
                                        .add("server", m_sent.server.str())
                                        .add("after", static_cast<std::int64_t>(m_sent.position.lastId().value_or(-1)))
                                        .add("event", static_cast<std::int64_t>(event->id.value_or(-1))));
                co_return false;
            }
            if (!event->isComment) {
                co_return true;
            }
        }
        if (bytes->empty()) {
            m_isCutOff = m_sent.isStream && (events.hasPartialEvent() || answer.endsWithConnection());
            co_return !m_isCutOff;
        }
        const bool isTooLong = events.isEventTooLong() || received.size() > m_sent.limits.bodyBytes;
        if (isTooLong || !m_held->resize(received.capacity() + events.heldBytes())) {
            recordLongAnswer(m_context, m_sent.attempt->id(), m_sent.server.str(), received.size());
            co_return false;
        }
    }
}

const hedged_send::order &hedged_send::sent() const
{
    return m_sent;
}

time_point hedged_send::sentAt() const
{
    return m_sentAt;
}

bool hedged_send::hasAnswer() const
{
    return m_answer != nullptr;
}

bool hedged_send::isDelivered() const
{
    return m_isDelivered;
}

verdict hedged_send::outcome() const
{
    return m_outcome;
}

bool hedged_send::isUnreachable() const
{
    return m_isUnreachable;
}

bool hedged_send::isUnreserved() const
{
    return m_isUnreserved;
}

const platform::response_head &hedged_send::head() const
{
    return m_head;
}

bool hedged_send::isCutOff() const
{
    return m_isCutOff;
}

std::unique_ptr<http::response_stream> hedged_send::takeAnswer()
{
    m_held.reset();
    return std::move(m_answer);
}

std::function<void()> hedged_send::closer() const
{
    return m_closeConnection;
}

} // namespace mustardtrail::gateway
