#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace mustardtrail::http
{

/// Cancels the reads of a connection when the deadline passes. The stream's own expiry would close the
/// socket: the error response could not be sent, and a request that has just arrived would be lost.
class read_deadline
{
public:
    explicit read_deadline(boost::beast::tcp_stream &stream);

    void expireAt(std::chrono::steady_clock::time_point when);
    bool hasPassed() const;
    /// Time that was added since the event loop did not run.
    std::chrono::nanoseconds addedTime() const;

private:
    void onTimer();

    boost::beast::tcp_stream &m_stream;
    boost::asio::steady_timer m_timer;
    std::chrono::nanoseconds m_addedTime{ 0 };
    std::shared_ptr<bool> m_passed = std::make_shared<bool>(false);
};

} // namespace mustardtrail::http
