#include "http/internal/connection_pool.h"

#include <array>

namespace mustardtrail::http
{

namespace
{

// A kept-alive connection that the server closed reads as end of stream; bytes nobody asked for make it unusable too.
bool isUsable(client_connection &connection)
{
    boost::system::error_code failure;
    std::array<char, 1> byte{};
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, failure);
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, failure);
    return failure == boost::asio::error::would_block;
}

} // namespace

std::unique_ptr<client_connection> client::connection_pool::take(const endpoint &to)
{
    auto &idle = m_idle[to];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isUsable(*connection)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void client::connection_pool::put(const endpoint &to, std::unique_ptr<client_connection> connection)
{
    auto &idle = m_idle[to];
    if (idle.size() < idlePerEndpoint) {
        idle.push_back(std::move(connection));
    }
}

} // namespace mustardtrail::http
