#include "http/internal/partitioned_links.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::http
{

namespace asio = boost::asio;

namespace
{
constexpr std::chrono::milliseconds pollInterval{ 5 };
} // namespace

void partitioned_links::setEndpoints(std::set<endpoint> endpoints)
{
    m_endpoints = std::move(endpoints);
    std::erase_if(m_abandonedSockets, [this](const auto &socket) {
        if (contains(socket->peer())) {
            return false;
        }
        socket->sendPending();
        return true;
    });
}

void partitioned_links::retainUntilHealed(std::unique_ptr<duplicated_socket> socket)
{
    m_abandonedSockets.push_back(std::move(socket));
}

bool partitioned_links::contains(const endpoint &peer) const
{
    return !m_endpoints.empty() && m_endpoints.contains(peer);
}

asio::awaitable<bool> partitioned_links::waitUntilHealed(endpoint peer, std::chrono::steady_clock::time_point end, const bool *isClosed)
{
    if (!contains(peer)) {
        co_return true;
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor);
    boost::system::error_code failure;
    while (contains(peer) && !failure && (isClosed == nullptr || !*isClosed)) {
        if (std::chrono::steady_clock::now() >= end) {
            co_return false;
        }
        pause.expires_after(pollInterval);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return !contains(peer);
}

} // namespace mustardtrail::http
