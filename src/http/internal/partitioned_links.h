#pragma once

#include "base/endpoint.h"
#include "http/internal/duplicated_socket.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <vector>

namespace mustardtrail::http
{

/// Endpoints that a client is partitioned from, for tests. Must be used on the client's executor.
class partitioned_links
{
public:
    /// Replaces the set. Abandoned sockets to endpoints that are reachable again send their pending bytes and are closed.
    void setEndpoints(std::set<endpoint> endpoints);
    bool contains(const endpoint &peer) const;
    /// Keeps the socket of an abandoned connection open until the partition heals.
    void retainUntilHealed(std::unique_ptr<duplicated_socket> socket);

    /// Waits until the partition from the peer heals; false when it has not by `end` or when `*isClosed` becomes true.
    boost::asio::awaitable<bool> waitUntilHealed(endpoint peer, std::chrono::steady_clock::time_point end, const bool *isClosed = nullptr);

private:
    std::set<endpoint> m_endpoints;
    std::vector<std::unique_ptr<duplicated_socket>> m_abandonedSockets;
};

} // namespace mustardtrail::http
