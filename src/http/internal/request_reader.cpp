#include "http/internal/request_reader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <bit>
#include <limits>

namespace mustardtrail::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr size_t headReadBytes = 4096;
constexpr int bitsOfHexDigit = 4;
constexpr std::uint64_t chunkLineEnds = 4; ///< Bytes of the line ends behind the size and the data of a chunk.

std::string text(beast::string_view view)
{
    return std::string(view.data(), view.size());
}

std::uint64_t hexDigits(std::uint64_t number)
{
    const auto bits = static_cast<int>(std::bit_width(number));
    return static_cast<std::uint64_t>(std::max(1, (bits + bitsOfHexDigit - 1) / bitsOfHexDigit));
}

bool isConnectionClosed(boost::system::error_code problem)
{
    return problem == beast::http::error::end_of_stream || problem == asio::error::connection_reset
        || problem == asio::error::operation_aborted || problem == asio::error::broken_pipe;
}

request_reader::failure failureOf(boost::system::error_code problem)
{
    const bool isTruncated = problem == beast::http::error::partial_message;
    const auto code = isTruncated ? error_code::request_truncated : error_code::request_malformed;
    return { code, problem.message(), isConnectionClosed(problem) };
}

} // namespace

request_reader::request_reader(beast::tcp_stream &stream,
    beast::flat_buffer &buffer,
    const server_limits &limits,
    const std::function<request_limits()> &currentLimits,
    body_budget &budget)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_ownLimits(limits)
    , m_currentLimits(currentLimits)
    , m_limits(currentLimits())
    , m_end(std::chrono::steady_clock::now() + limits.wholeRequest)
    , m_deadline(stream)
    , m_reservation(budget)
    , m_onChunk([this](std::uint64_t bytes, beast::string_view, boost::system::error_code &) {
        onChunk(bytes);
    })
{
    // The parser limits only what it has not taken yet of a head; sizes are checked here.
    m_parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    m_parser.body_limit(boost::none);
    m_parser.on_chunk_header(m_onChunk);
}

asio::awaitable<std::optional<request_reader::failure>> request_reader::read()
{
    m_deadline.expireAt(std::chrono::steady_clock::now() + m_ownLimits.progress);
    auto problem = co_await readHead();
    if (!problem) {
        problem = co_await readBody();
    }
    m_deadline.expireAt(std::chrono::steady_clock::time_point::max());
    co_return problem;
}

bool request_reader::keepsAlive() const
{
    return m_parser.get().keep_alive();
}

request_message request_reader::takeMessage()
{
    auto message = m_parser.release();
    request_message taken;
    taken.method = text(message.method_string());
    taken.target = text(message.target());
    for (const auto &field : message) {
        taken.headers.add(text(field.name_string()), text(field.value()));
    }
    taken.body = std::make_shared<const std::string>(std::move(message.body()));
    return taken;
}

const request_limits &request_reader::limits() const
{
    return m_limits;
}

size_t request_reader::parse(boost::system::error_code &problem)
{
    const size_t count = m_parser.put(m_buffer.data(), problem);
    m_buffer.consume(count);
    if (problem == beast::http::error::need_more) {
        problem = {};
    }
    return count;
}

std::optional<request_reader::failure> request_reader::checkHead(size_t bytes)
{
    m_limits = largerOf(m_limits, m_currentLimits());
    if (bytes <= m_limits.headerBytes) {
        return std::nullopt;
    }
    return failure{ error_code::request_too_large, "header", false, limit_kind::header_bytes, bytes };
}

std::optional<request_reader::failure> request_reader::checkBody(std::uint64_t bytes)
{
    m_limits = largerOf(m_limits, m_currentLimits());
    if (bytes <= m_limits.bodyBytes) {
        return std::nullopt;
    }
    return failure{ error_code::request_too_large, "body", false, limit_kind::body_bytes, bytes };
}

request_reader::failure request_reader::lateFailure(std::string_view part) const
{
    return { error_code::request_timeout, std::string(part) };
}

asio::awaitable<std::optional<request_reader::failure>> request_reader::readHead()
{
    boost::system::error_code problem;
    size_t taken = 0;
    while (true) {
        if (m_buffer.size() > 0) {
            taken += parse(problem);
        }
        const bool isWhole = m_parser.is_header_done();
        if (const auto beyond = checkHead(isWhole ? taken : taken + m_buffer.size())) {
            co_return beyond;
        }
        if (problem) {
            co_return failureOf(problem);
        }
        if (isWhole) {
            co_return std::nullopt;
        }
        const size_t room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) {
            co_return failure{ error_code::request_too_large, "field", false, limit_kind::header_bytes, taken + m_buffer.size() };
        }
        const auto space = m_buffer.prepare(std::min(headReadBytes, room));
        const size_t count = co_await m_stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, problem));
        m_buffer.commit(count);
        if (problem && m_deadline.hasPassed()) {
            co_return lateFailure("header");
        }
        if (problem == asio::error::eof) {
            problem = beast::http::error::partial_message;
        }
        if (problem) {
            co_return failureOf(problem);
        }
    }
}

asio::awaitable<void> request_reader::writeContinue()
{
    beast::http::response<beast::http::empty_body> response(beast::http::status::continue_, 11);
    boost::system::error_code ignored; // The read that follows fails too.
    co_await beast::http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<request_reader::failure>> request_reader::readBody()
{
    const std::uint64_t announced = m_parser.content_length().value_or(0);
    if (const auto beyond = checkBody(announced)) {
        co_return beyond;
    }
    if (!m_reservation.growTo(announced)) {
        co_return failure{ error_code::memory_budget_spent, "bodies" };
    }
    if (beast::iequals(m_parser.get()[beast::http::field::expect], "100-continue")) {
        co_await writeContinue();
    }
    boost::system::error_code problem;
    std::uint64_t received = 0;
    while (!problem && !m_parser.is_done()) {
        const auto now = std::chrono::steady_clock::now();
        m_deadline.expireAt(std::min(m_end + m_deadline.addedTime(), now + m_ownLimits.progress));
        received += co_await beast::http::async_read_some(m_stream, m_buffer, m_parser, asio::redirect_error(asio::use_awaitable, problem));
        const bool isUnending = problem == beast::http::error::buffer_overflow; // An extension or a trailer that fills the buffer.
        const std::uint64_t counted = received - std::min(received, m_framingBytes) + (isUnending ? m_buffer.size() : 0);
        if (const auto beyond = checkBody(std::max(m_chunkBytes, counted))) {
            co_return beyond;
        }
        if (!m_reservation.growTo(m_parser.get().body().size())) {
            co_return failure{ error_code::memory_budget_spent, "bodies" };
        }
    }
    if (m_deadline.hasPassed() && !m_parser.is_done()) {
        co_return lateFailure("body");
    }
    if (problem) {
        co_return failureOf(problem);
    }
    co_return std::nullopt;
}

void request_reader::onChunk(std::uint64_t bytes)
{
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    m_chunkBytes = bytes > most - m_chunkBytes ? most : m_chunkBytes + bytes;
    m_framingBytes += hexDigits(bytes) + chunkLineEnds;
}

} // namespace mustardtrail::http
