#pragma once

#include "http/request_message.h"
#include "http/response_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace mustardtrail::http
{

/// One request received by a server and the means to send its response. Must be used on the connection's executor.
/// There is one response: a second one, and parts of a stream that is not open, throw std::logic_error and send nothing.
class exchange
{
public:
    virtual ~exchange() = default;

    virtual const request_message &request() const = 0;

    /// Sends a complete response. False when the peer has disconnected.
    virtual boost::asio::awaitable<bool> respond(response_message message) = 0;
    /// Starts a chunked response. False when the peer has disconnected.
    virtual boost::asio::awaitable<bool> startStream(int status, header_list headers) = 0;
    /// Sends one chunk, and nothing for no bytes; waits for a slow peer up to the progress limit. False when the peer has disconnected.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Ends a chunked response. Without it the connection is closed, so that the peer detects a truncated response.
    virtual boost::asio::awaitable<bool> finishStream() = 0;
    /// Ends a chunked response with these trailer fields.
    virtual boost::asio::awaitable<bool> finishStreamWith(header_list trailers) = 0;

    virtual bool hasStarted() const = 0;
    /// Sets a hook that runs at most once, on the connection's executor, when the peer closes before the response is finished.
    virtual void onDisconnect(std::function<void()> hook) = 0;
    /// The connection's executor.
    virtual boost::asio::any_io_executor executor() const = 0;
};

/// Serves one request; returns when the response is finished.
using handler = std::function<boost::asio::awaitable<void>(exchange &)>;

/// Builds the response to a request that could not be read; `code` is a number of error_code.
using bad_request_responder = std::function<response_message(int status, int code, std::string_view detail)>;

} // namespace mustardtrail::http
