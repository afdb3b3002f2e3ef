#include "http/internal/connection_pool.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace mustardtrail::http
{

namespace
{

// A connection that the server closed reads as end of stream; unsolicited bytes make a connection unusable too.
bool isUsable(client_connection &connection)
{
    boost::system::error_code failure;
    std::array<char, 1> byte{};
    auto &socket = connection.stream.socket();
    if (!socket.non_blocking()) {
        socket.non_blocking(true, failure);
    }
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, failure);
    return failure == boost::asio::error::would_block;
}

} // namespace

std::unique_ptr<client_connection> client::connection_pool::take(const endpoint &to, std::chrono::milliseconds idle)
{
    const auto now = system_monotonic_clock().now();
    auto &kept = m_idle[to];
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        const auto idleFor = now - connection->idleSince;
        if (idleFor < std::min(idle, connection->idleLimit) && isUsable(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void client::connection_pool::drop(const endpoint &to)
{
    m_idle.erase(to);
}

void client::connection_pool::closeUnusable(size_t most)
{
    const auto now = system_monotonic_clock().now();
    size_t looked = 0;
    for (size_t endpoints = m_idle.size(); endpoints > 0 && looked < most; --endpoints) {
        auto next = m_idle.upper_bound(m_lastLookedAt);
        next = next == m_idle.end() ? m_idle.begin() : next;
        auto &[to, kept] = *next;
        m_lastLookedAt = to;
        looked += kept.size();
        std::erase_if(kept, [now](const auto &connection) {
            return now - connection->idleSince >= connection->idleLimit || !isUsable(*connection);
        });
        if (kept.empty()) {
            m_idle.erase(next);
        }
    }
}

size_t client::connection_pool::size() const
{
    return std::accumulate(m_idle.begin(), m_idle.end(), size_t{ 0 }, [](size_t sum, const auto &entry) {
        return sum + entry.second.size();
    });
}

void client::connection_pool::put(const endpoint &to, std::unique_ptr<client_connection> connection)
{
    auto &kept = m_idle[to];
    if (kept.size() < idlePerEndpoint) {
        connection->idleSince = system_monotonic_clock().now();
        kept.push_back(std::move(connection));
    }
}

} // namespace mustardtrail::http
