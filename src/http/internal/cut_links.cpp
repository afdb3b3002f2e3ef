#include "http/internal/cut_links.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::http
{

namespace asio = boost::asio;

namespace
{
constexpr std::chrono::milliseconds pollPause{ 5 };
} // namespace

void cut_links::replace(std::set<endpoint> endpoints)
{
    m_endpoints = std::move(endpoints);
    std::erase_if(m_givenUp, [this](const auto &socket) {
        if (contains(socket->peer())) {
            return false;
        }
        socket->sendKept();
        return true;
    });
}

void cut_links::keepUntilWhole(std::unique_ptr<held_socket> socket)
{
    m_givenUp.push_back(std::move(socket));
}

bool cut_links::contains(const endpoint &peer) const
{
    return !m_endpoints.empty() && m_endpoints.contains(peer);
}

asio::awaitable<bool> cut_links::waitUntilWhole(endpoint peer, std::chrono::steady_clock::time_point end, const bool *isClosed)
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
        pause.expires_after(pollPause);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return !contains(peer);
}

} // namespace mustardtrail::http
