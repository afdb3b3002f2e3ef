#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>

namespace mustardtrail::entry
{

/// Carries events to the coroutine that writes them to one connection, in order. `push` may be called from
/// any thread; `next` only on the connection's executor. Counts the bytes that wait.
template<typename event> class event_channel : public std::enable_shared_from_this<event_channel<event>>
{
public:
    explicit event_channel(boost::asio::any_io_executor executor)
        : m_executor(executor)
        , m_ready(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    void push(event item, size_t bytes)
    {
        m_waitingBytes += bytes;
        boost::asio::post(m_executor, [self = this->shared_from_this(), item = std::move(item), bytes]() mutable {
            self->m_events.emplace_back(std::move(item), bytes);
            self->m_ready.cancel();
        });
    }

    boost::asio::awaitable<event> next()
    {
        while (m_events.empty()) {
            boost::system::error_code ignored;
            co_await m_ready.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        auto [item, bytes] = std::move(m_events.front());
        m_events.pop_front();
        m_waitingBytes -= bytes;
        co_return std::move(item);
    }

    /// Nothing when no event came within the limit.
    boost::asio::awaitable<std::optional<event>> nextWithin(std::chrono::milliseconds limit)
    {
        if (m_events.empty()) {
            boost::system::error_code ignored;
            m_ready.expires_after(limit);
            co_await m_ready.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            m_ready.expires_at(boost::asio::steady_timer::time_point::max());
        }
        if (m_events.empty()) {
            co_return std::nullopt;
        }
        event item = co_await next();
        co_return std::move(item);
    }

    /// Bytes pushed and not yet taken.
    size_t waitingBytes() const
    {
        return m_waitingBytes;
    }

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_ready;
    std::deque<std::pair<event, size_t>> m_events;
    std::atomic<size_t> m_waitingBytes{ 0 };
};

} // namespace mustardtrail::entry
