#include "http/tests/http_harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

namespace mustardtrail::http::testing
{

namespace asio = boost::asio;

namespace
{

response_message badRequestResponse(int status, int code, std::string_view)
{
    return response_message{ status, { { "X-Code", std::to_string(code) } }, "refused" };
}

asio::awaitable<result<response_message>> callOnce(client &caller, endpoint to, request_message message, call_limits limits)
{
    co_return co_await caller.call(std::move(to), std::move(message), std::move(limits));
}

} // namespace

http_harness::http_harness(server_limits limits, handler handle)
    : m_work(m_context.get_executor())
    , m_server(std::make_unique<server>(m_context.get_executor(), limits, std::move(handle), badRequestResponse))
    , m_address(m_server->listen({ "127.0.0.1", 0 }).value())
{
    for (int thread = 0; thread < 2; ++thread) {
        m_threads.emplace_back([this] {
            m_context.run();
        });
    }
}

http_harness::~http_harness()
{
    m_context.stop();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

result<response_message> http_harness::call(request_message message, call_limits limits)
{
    const auto strand = asio::make_strand(m_context);
    const auto caller = std::make_shared<client>(strand);
    return asio::co_spawn(strand, callOnce(*caller, m_address, std::move(message), std::move(limits)), asio::use_future).get();
}

std::string http_harness::raw(const std::string &bytes, bool halfClose)
{
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    socket.connect({ asio::ip::make_address(m_address.address), m_address.port });
    boost::system::error_code failure;
    asio::write(socket, asio::buffer(bytes), failure);
    if (halfClose) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    }
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), failure);
    return answer;
}

endpoint http_harness::address() const
{
    return m_address;
}

server &http_harness::httpServer()
{
    return *m_server;
}

} // namespace mustardtrail::http::testing
