#pragma once

#include "http/client.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mustardtrail::http::testing
{

/// Server with two threads on a free loopback port, and a blocking client for tests.
class http_harness
{
public:
    http_harness(server_limits limits, handler handle);
    ~http_harness();

    result<response_message> call(request_message message, call_limits limits = {});
    /// Sends raw bytes, by default closes the sending side, and returns all received bytes.
    std::string raw(const std::string &bytes, bool halfClose = true);
    endpoint address() const;
    server &httpServer();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<server> m_server;
    endpoint m_address;
    std::vector<std::thread> m_threads;
};

} // namespace mustardtrail::http::testing
