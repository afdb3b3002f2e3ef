#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "http/body_budget.h"
#include "http/exchange.h"
#include "http/request_limits.h"
#include "http/server_limits.h"

#include <atomic>
#include <memory>

namespace mustardtrail::http
{

/// HTTP/1.1 server with keep-alive. Each connection runs on its own strand of the given executor.
class server
{
public:
    /// Without `hooks` the limits are those of `limits` throughout.
    server(boost::asio::any_io_executor executor,
        server_limits limits,
        handler handle,
        bad_request_responder badRequest,
        limit_hooks hooks = {});
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    /// Binds and starts to accept connections; port 0 selects a free port. Returns the bound endpoint.
    result<endpoint> listen(const endpoint &address);
    /// From now on each connection closes after its next response; new connections are still accepted.
    void disableKeepAlive();
    /// Stops accepting connections, closes idle ones immediately and the others after their current request. Serves requests that
    /// have arrived by then, also on connections that have not been accepted yet.
    void stop();

    size_t openConnections() const;
    size_t bodyBytesHeld() const;

    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace mustardtrail::http
