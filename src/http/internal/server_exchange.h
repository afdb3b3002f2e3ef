#pragma once

#include "http/exchange.h"
#include "http/server_limits.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <memory>

namespace mustardtrail::http
{

/// Exchange over one connection of the server.
class server_exchange final : public exchange
{
public:
    /// `closeAfterResponse` may be null. It is read when the response begins: true closes the connection after the response.
    server_exchange(boost::beast::tcp_stream &stream,
        const server_limits &limits,
        request_message request,
        bool keepAlive,
        const std::atomic<bool> *closeAfterResponse);
    ~server_exchange() override;

    const request_message &request() const override;
    boost::asio::awaitable<bool> respond(response_message message) override;
    boost::asio::awaitable<bool> startStream(int status, header_list headers) override;
    boost::asio::awaitable<bool> write(std::string_view bytes) override;
    boost::asio::awaitable<bool> finishStream() override;
    boost::asio::awaitable<bool> finishStreamWith(header_list trailers) override;
    bool hasStarted() const override;
    void onDisconnect(std::function<void()> hook) override;
    boost::asio::any_io_executor executor() const override;

    /// True when the response is complete and the connection can take another request.
    bool canReuse() const;

private:
    struct disconnect_watch;

    /// Which part of a response may be sent next.
    enum class phase { unanswered, responding, streaming, answered };

    /// Throws std::logic_error in any other phase, where bytes would get into a response that has begun or follow its end.
    void expectPhase(phase required) const;
    void beginResponse(phase begun);

    boost::beast::tcp_stream &m_stream;
    const server_limits &m_limits;
    request_message m_request;
    bool m_keepAlive;
    const std::atomic<bool> *m_closeAfterResponse;
    phase m_phase = phase::unanswered;
    bool m_broken = false;
    std::shared_ptr<disconnect_watch> m_watch;
};

} // namespace mustardtrail::http
