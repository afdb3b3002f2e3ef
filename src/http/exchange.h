#pragma once

#include "http/request_message.h"
#include "http/response_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace mustardtrail::http
{

/// One request at a server and the only writer of its answer. Used on the connection's executor.
class exchange
{
public:
    virtual ~exchange() = default;

    virtual const request_message &request() const = 0;

    /// Sends a whole answer. False: the peer is gone.
    virtual boost::asio::awaitable<bool> respond(response_message message) = 0;
    /// Starts a chunked answer. False: the peer is gone.
    virtual boost::asio::awaitable<bool> startStream(int status, header_list headers) = 0;
    /// Sends one piece; waits while the peer is slow, up to the progress limit. False: the peer is gone.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Ends a chunked answer. Without it the connection is cut, so the peer sees that the answer is not whole.
    virtual boost::asio::awaitable<bool> finishStream() = 0;

    virtual bool hasStarted() const = 0;
    /// Called at most once, on the connection's executor, when the peer closes while the answer is being made.
    virtual void onDisconnect(std::function<void()> hook) = 0;
    /// The connection's executor.
    virtual boost::asio::any_io_executor executor() const = 0;
};

/// Serves one request; returns when the answer is finished.
using handler = std::function<boost::asio::awaitable<void>(exchange &)>;

/// Answer to a request that could not be read: status and a code of error_code.
using bad_request_responder = std::function<response_message(int status, int code, std::string_view detail)>;

} // namespace mustardtrail::http
