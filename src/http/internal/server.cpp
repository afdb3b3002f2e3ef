#include "http/server.h"

#include "http/internal/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::http
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds acceptRetryPause{ 50 };

void serve(const std::shared_ptr<server::shared_state> &state, asio::ip::tcp::socket socket)
{
    const auto strand = socket.get_executor();
    const auto opened = std::make_shared<connection>(std::move(socket), state);
    state->registerConnection(opened);
    asio::co_spawn(strand, opened->run(), asio::detached);
}

// When file descriptors run out, every accept fails until one is closed; the pause avoids a busy loop.
asio::awaitable<void> acceptLoop(std::shared_ptr<server::shared_state> state, std::shared_ptr<asio::ip::tcp::acceptor> acceptor)
{
    const auto executor = acceptor->get_executor();
    while (!state->stopping) {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket(asio::make_strand(executor));
        co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if (failure && !acceptor->is_open()) {
            co_return;
        }
        if (failure) {
            asio::steady_timer pause(executor, acceptRetryPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        serve(state, std::move(socket));
    }
}

// Closing the acceptor resets the connections that wait for it, whatever has arrived on them.
void acceptPending(const std::shared_ptr<server::shared_state> &state)
{
    auto &acceptor = *state->acceptor;
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        asio::ip::tcp::socket socket(asio::make_strand(acceptor.get_executor()));
        acceptor.accept(socket, failure);
        if (!failure) {
            serve(state, std::move(socket));
        }
    }
}

limit_hooks orConstant(limit_hooks hooks, const server_limits &limits)
{
    if (!hooks.current) {
        hooks.current = [constant = request_limits{ limits.headerBytes, limits.bodyBytes, 0 }] {
            return constant;
        };
    }
    return hooks;
}

} // namespace

void server::shared_state::registerConnection(const std::shared_ptr<connection> &opened)
{
    const std::lock_guard lock(mutex);
    std::erase_if(connections, [](const std::weak_ptr<connection> &each) {
        return each.expired();
    });
    connections.push_back(opened);
}

void server::shared_state::closeIdle()
{
    const std::lock_guard lock(mutex);
    for (const auto &each : connections) {
        if (const auto open = each.lock()) {
            open->closeIfIdle();
        }
    }
}

server::server(asio::any_io_executor executor, server_limits limits, handler handle, bad_request_responder badRequest, limit_hooks hooks)
    : m_state(std::make_shared<shared_state>(limits, std::move(handle), std::move(badRequest), orConstant(std::move(hooks), limits)))
{
    m_state->acceptor = std::make_shared<asio::ip::tcp::acceptor>(asio::make_strand(executor));
}

server::~server()
{
    stop();
}

result<endpoint> server::listen(const endpoint &address)
{
    boost::system::error_code failure;
    auto &acceptor = *m_state->acceptor;
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address.address, failure), address.port);
    if (!failure) {
        acceptor.open(local.protocol(), failure);
    }
    if (!failure) {
        acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        acceptor.bind(local, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return tl::unexpected(
            error{ error_code::settings_out_of_range, verdict::not_run, "listen " + toString(address) + ": " + failure.message(), {} });
    }
    const endpoint bound{ address.address, acceptor.local_endpoint().port() };
    asio::co_spawn(acceptor.get_executor(), acceptLoop(m_state, m_state->acceptor), asio::detached);
    return bound;
}

void server::disableKeepAlive()
{
    m_state->closeAfterResponse = true;
}

void server::stop()
{
    m_state->closeAfterResponse = true;
    if (m_state->stopping.exchange(true)) {
        return;
    }
    m_state->closeIdle();
    asio::post(m_state->acceptor->get_executor(), [state = m_state] {
        acceptPending(state);
        boost::system::error_code ignored;
        state->acceptor->close(ignored);
    });
}

size_t server::openConnections() const
{
    return m_state->openConnections;
}

size_t server::bodyBytesHeld() const
{
    return m_state->budget.usedBytes();
}

} // namespace mustardtrail::http
