#pragma once

#include "base/clock.h"
#include "http/client.h"
#include "http/internal/partitioned_links.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <vector>

namespace mustardtrail::http
{

/// One connection to a server, with the bytes that were received but not parsed yet.
struct client_connection {
    explicit client_connection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }
    ~client_connection()
    {
        *selfReference = nullptr;
        if (isPartitioned()) {
            partitions->retainUntilHealed(std::move(socketDuplicate));
        }
    }
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /// Ends the call in progress, also one that waits for a simulated partition to heal.
    void close()
    {
        isClosed = true;
        if (socketDuplicate && !isPartitioned()) { // Else the server would see it closed only with the duplicate.
            boost::system::error_code ignored;
            stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        }
        stream.close();
    }

    /// Functions that close the connection for one call have no effect on the calls after it.
    void forgetClosers()
    {
        *selfReference = nullptr;
        selfReference = std::make_shared<client_connection *>(this);
    }

    bool isPartitioned() const
    {
        return socketDuplicate && partitions->contains(socketDuplicate->peer());
    }

    static constexpr size_t maxUnparsedBytes = 64 * 1024; ///< Holds each head, chunk head and trailer part of a proper response.

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{ maxUnparsedBytes };
    bool hasCarriedRequest = false;
    bool isClosed = false; ///< From this side.
    bool isReset = false; ///< While a request was sent: the end of the stream then shows no end of a response.
    time_point idleSince{}; ///< Of a clock that counts while the machine is suspended, as the server does.
    std::chrono::milliseconds idleLimit{ 60'000 }; ///< Not reused after being idle this long, as the server may close it.
    std::shared_ptr<client_connection *> selfReference = std::make_shared<client_connection *>(this); ///< Set to null when its call ends.
    std::shared_ptr<partitioned_links> partitions; ///< Null when forbidden.
    std::unique_ptr<duplicated_socket> socketDuplicate; ///< Null when forbidden.
};

/// Idle connections by endpoint, all of one executor.
class client::connection_pool
{
public:
    /// Returns a connection that was idle for less than `idle` and that the server has not closed, or null.
    std::unique_ptr<client_connection> take(const endpoint &to, std::chrono::milliseconds idle);
    void put(const endpoint &to, std::unique_ptr<client_connection> connection);
    /// Closes the idle connections to the endpoint.
    void drop(const endpoint &to);
    /// Closes the connections that the server has closed or that are idle for longer than their limit.
    /// Looks at about `most` of them, and at the next ones the next time.
    void closeUnusable(size_t most);
    size_t size() const;

private:
    static constexpr size_t idlePerEndpoint = 64;

    std::map<endpoint, std::vector<std::unique_ptr<client_connection>>> m_idle;
    endpoint m_lastLookedAt; ///< By closeUnusable.
};

} // namespace mustardtrail::http
