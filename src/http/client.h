#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "http/request_message.h"
#include "http/response_message.h"
#include "http/simulated_partitions.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <set>

namespace mustardtrail::http
{

class partitioned_links;

/// Time-outs, size limit and hooks of one call.
struct call_limits {
    std::chrono::milliseconds connect{ 1'000 };
    std::chrono::milliseconds firstByte{ 5'000 }; ///< From the last byte of the request to the response header.
    std::chrono::milliseconds progress{ 10'000 }; ///< Longest time without progress while sending or receiving.
    size_t bodyBytes = 8 * 1024 * 1024; ///< Largest response body that call() accepts.
    bool freshConnection = false; ///< Open a new one: a reset then cannot stem from an idle close.
    std::chrono::milliseconds maxIdleForReuse{ 60'000 }; ///< Pooled connections idle for longer are not reused.
    /// Receives a function that closes the connection of this call; it may be called at any time on the client's executor.
    std::function<void(std::function<void()>)> onConnection;
    /// Called when a new connection was opened for this call; not for a pooled one.
    std::function<void()> onOpened;
    /// Called when bytes of the answer's body have arrived.
    std::function<void()> onBytes;
    /// Called when the machine of the endpoint refused a new connection for this call.
    std::function<void()> onRefused;
    /// Called just before the first byte is sent; a returned error ends the call and nothing is sent.
    std::function<std::optional<error>()> beforeSend;

    /// Sets connect, firstByte and progress to the same limit.
    static call_limits within(std::chrono::milliseconds limit);
};

/// Response that is read incrementally. Destroying it before its end closes the connection.
class response_stream
{
public:
    virtual ~response_stream() = default;
    virtual int status() const = 0;
    virtual const header_list &headers() const = 0;
    /// Whether the body has neither a length nor chunks, so that only the end of the connection shows its end.
    virtual bool endsWithConnection() const = 0;
    /// Last value of a trailer field, once the body has ended; empty when absent.
    virtual std::string_view trailer(std::string_view name) const = 0;
    /// Whether the connection carried a request before this one; the response may then be an extra one to that request.
    virtual bool isOnReusedConnection() const = 0;
    /// Returns the next bytes, an empty string at the end of the body, or an error when the response is truncated.
    virtual boost::asio::awaitable<result<std::string>> read() = 0;
    /// Closes the connection; a read in progress ends with an error. Must be called on the stream's executor.
    virtual void close() = 0;
};

/// HTTP/1.1 client with a pool of kept-alive connections per endpoint. All calls run on one executor (a strand);
/// a program that uses several threads holds several clients.
/// The outcome of an error is not_run until the first byte of the request was sent, and may_have_run after that.
class client
{
public:
    explicit client(boost::asio::any_io_executor executor, simulated_partitions allowed = simulated_partitions::forbidden);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    boost::asio::awaitable<result<response_message>> call(endpoint to, request_message message, call_limits limits);
    boost::asio::awaitable<result<std::unique_ptr<response_stream>>> open(endpoint to, request_message message, call_limits limits);
    /// Opens a connection and keeps it for a later call.
    boost::asio::awaitable<result<void>> openIdle(endpoint to, std::chrono::milliseconds limit);
    /// Closes the pooled connections to the endpoint.
    void closeIdle(const endpoint &to);
    /// Closes the pooled connections, to all endpoints, that are idle for too long or that the server has closed. Without it those
    /// to endpoints that are not called any more stay open. Looks at about `most` of them, and at the next ones the next time.
    void closeUnusable(size_t most = std::numeric_limits<size_t>::max());
    /// Pooled connections to all endpoints.
    size_t idleConnections() const;

    /// Simulates a network partition for tests: until the next call nothing is sent to or read from these endpoints, and
    /// neither side detects that the other closes a connection. False, without effect, when this is forbidden.
    bool setPartitionedEndpoints(std::set<endpoint> endpoints);
    bool isPartitionedFrom(const endpoint &peer) const;

    class connection_pool;

private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<connection_pool> m_pool;
    std::shared_ptr<partitioned_links> m_partitions; ///< Null when forbidden.
};

/// Reads the rest of a response. The error is `backend_answer_invalid` when its body is longer than `maxBytes`.
boost::asio::awaitable<result<response_message>> readWhole(response_stream &source, size_t maxBytes);

} // namespace mustardtrail::http
