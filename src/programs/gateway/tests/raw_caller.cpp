#include "programs/gateway/tests/raw_caller.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace mustardtrail::gateway::testing
{

namespace asio = boost::asio;
namespace beast = boost::beast;

struct raw_caller::connection {
    explicit connection(const asio::any_io_executor &executor)
        : socket(executor)
    {
    }

    static asio::awaitable<void> write(std::shared_ptr<connection> self, std::string bytes)
    {
        boost::system::error_code ignored;
        co_await asio::async_write(self->socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
    }

    static asio::awaitable<void> readAll(std::shared_ptr<connection> self)
    {
        boost::system::error_code failure;
        co_await asio::async_read(self->socket, asio::dynamic_buffer(self->received), asio::redirect_error(asio::use_awaitable, failure));
        self->isClosed = true;
    }

    asio::ip::tcp::socket socket;
    std::string received;
    bool isClosed = false;
};

raw_caller::raw_caller(const asio::any_io_executor &executor, const endpoint &to, std::string bytes)
    : m_connection(std::make_shared<connection>(executor))
{
    m_connection->socket.connect({ asio::ip::make_address(to.address), to.port });
    send(std::move(bytes));
    asio::co_spawn(executor, connection::readAll(m_connection), asio::detached);
}

void raw_caller::send(std::string bytes)
{
    asio::co_spawn(m_connection->socket.get_executor(), connection::write(m_connection, std::move(bytes)), asio::detached);
}

void raw_caller::leave()
{
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
}

bool raw_caller::isClosed() const
{
    return m_connection->isClosed;
}

std::string raw_caller::onlyAnswer() const
{
    const std::string &received = m_connection->received;
    beast::http::response_parser<beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failure;
    const size_t used = parser.put(asio::buffer(received), failure);
    if (failure || !parser.is_done()) {
        return "incomplete: " + received;
    }
    if (used < received.size()) {
        return "more than one: " + received;
    }
    return std::to_string(parser.get().result_int()) + " " + parser.get().body();
}

std::string raw_caller::stream() const
{
    const std::string &received = m_connection->received;
    beast::http::response_parser<beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failure;
    size_t used = 0;
    while (used < received.size() && !failure && !parser.is_done()) {
        used += parser.put(asio::buffer(received) + used, failure);
    }
    const std::string rest = received.substr(used);
    const bool isRead = !failure || failure == beast::http::error::need_more;
    const bool isStream = parser.is_header_done() && parser.get().result_int() == 200;
    // The parser takes the line end behind a chunk together with the next chunk.
    if (!isRead || !isStream || !(rest.empty() || (rest == "\r\n" && !parser.is_done()))) {
        return "other bytes: " + received;
    }
    return (parser.is_done() ? "whole " : "broken ") + parser.get().body();
}

} // namespace mustardtrail::gateway::testing
