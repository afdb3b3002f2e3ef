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
#include <memory>
#include <set>

namespace mustardtrail::http
{

class partitioned_links;

/// Time limits of one call.
struct call_limits {
    std::chrono::milliseconds connect{ 1'000 };
    std::chrono::milliseconds firstByte{ 5'000 }; ///< From the last byte sent to the answer's header.
    std::chrono::milliseconds progress{ 10'000 }; ///< Longest gap between bytes, both ways.
    size_t bodyBytes = 8 * 1024 * 1024; ///< Of a whole answer.
    bool freshConnection = false; ///< Never reuse one: a reset then cannot come from an idle close.
    std::chrono::milliseconds maxIdleForReuse{ 60'000 }; ///< A kept connection is reused when it was idle for less.
    /// Gets a function that closes the connection of this call, callable at any time on the client's executor.
    std::function<void(std::function<void()>)> onConnection;
    /// Asked just before the first byte is sent; an error ends the call as not run.
    std::function<std::optional<error>()> beforeSend;

    /// The same limit for connecting, for the first byte and for each gap.
    static call_limits within(std::chrono::milliseconds limit);
};

/// Answer that is read piece by piece. Destroying it early closes the connection.
class response_stream
{
public:
    virtual ~response_stream() = default;
    virtual int status() const = 0;
    virtual const header_list &headers() const = 0;
    /// Next bytes; empty at the end of a whole answer; an error when it was cut.
    virtual boost::asio::awaitable<result<std::string>> read() = 0;
    /// Closes the connection; a read in progress ends with an error. Called on the stream's executor.
    virtual void close() = 0;
};

/// HTTP/1.1 client with a pool of kept-alive connections per endpoint. Belongs to one executor (a strand):
/// every call runs on it. A program that wants several threads holds several clients.
/// Errors say whether the request may have run: not_run until the first byte was sent, then may_have_run.
class client
{
public:
    explicit client(boost::asio::any_io_executor executor, simulated_partitions allowed = simulated_partitions::forbidden);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    boost::asio::awaitable<result<response_message>> call(endpoint to, request_message message, call_limits limits);
    boost::asio::awaitable<result<std::unique_ptr<response_stream>>> open(endpoint to, request_message message, call_limits limits);

    /// For tests of partitions: until the next call nothing is sent to these endpoints and nothing read from them,
    /// and no connection to them is seen to close. False, without effect, when cuts are forbidden.
    bool setPartitionedEndpoints(std::set<endpoint> endpoints);
    bool isPartitionedFrom(const endpoint &peer) const;

    class connection_pool;

private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<connection_pool> m_pool;
    std::shared_ptr<partitioned_links> m_partitions; ///< Null when cuts are forbidden.
};

} // namespace mustardtrail::http
