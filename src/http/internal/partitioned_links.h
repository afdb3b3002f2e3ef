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

/// Endpoints that a client is cut off from. Belongs to the client's executor.
class partitioned_links
{
public:
    /// The new set; what was held for links that are whole again is sent and closed.
    void setEndpoints(std::set<endpoint> endpoints);
    bool contains(const endpoint &peer) const;
    /// Keeps the socket of a connection that was given up until its link is whole.
    void retainUntilHealed(std::unique_ptr<duplicated_socket> socket);

    /// Waits until the link to the peer is whole; false when it was not by the given time, or when `isClosed` says so.
    boost::asio::awaitable<bool> waitUntilHealed(endpoint peer, std::chrono::steady_clock::time_point end, const bool *isClosed = nullptr);

private:
    std::set<endpoint> m_endpoints;
    std::vector<std::unique_ptr<duplicated_socket>> m_abandonedSockets;
};

} // namespace mustardtrail::http
