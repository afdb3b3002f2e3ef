#pragma once

#include "base/error_code.h"
#include "http/internal/body_reservation.h"
#include "http/internal/read_deadline.h"
#include "http/request_limits.h"
#include "http/server_limits.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace mustardtrail::http
{

/// Reads one request from a connection within the limits of its size and time.
class request_reader
{
public:
    /// Why the request is not served.
    struct failure {
        error_code code = error_code::request_malformed;
        std::string detail;
        bool isDisconnected = false; ///< Nobody is there to be answered.
        std::optional<limit_kind> limit{}; ///< The limit that was passed.
        std::uint64_t sent = 0; ///< In bytes, where a limit was passed.
    };

    request_reader(boost::beast::tcp_stream &stream,
        boost::beast::flat_buffer &buffer,
        const server_limits &limits,
        const std::function<request_limits()> &currentLimits,
        body_budget &budget);

    /// Returns nothing when the whole request has been read.
    boost::asio::awaitable<std::optional<failure>> read();

    bool keepsAlive() const;
    /// What has been read of the request.
    request_message takeMessage();
    const request_limits &limits() const;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<std::optional<failure>> readHead();
    boost::asio::awaitable<std::optional<failure>> readBody();
    boost::asio::awaitable<void> writeContinue();
    /// Returns the number of bytes that were taken from the buffer.
    size_t parse(boost::system::error_code &problem);
    std::optional<failure> checkHead(size_t bytes);
    std::optional<failure> checkBody(std::uint64_t bytes);
    failure lateFailure(std::string_view part) const;
    /// Called for the head of each chunk.
    void onChunk(std::uint64_t bytes);

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    const server_limits &m_ownLimits;
    const std::function<request_limits()> &m_currentLimits;
    request_limits m_limits;
    const std::chrono::steady_clock::time_point m_end; ///< Of the time for the whole request.
    read_deadline m_deadline;
    body_reservation m_reservation;
    parser m_parser;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> m_onChunk;
    std::uint64_t m_chunkBytes = 0; ///< Announced by the chunks so far.
    std::uint64_t m_framingBytes = 0; ///< Least bytes that frame these chunks.
};

} // namespace mustardtrail::http
