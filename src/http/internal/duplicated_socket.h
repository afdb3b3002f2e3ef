#pragma once

#include "base/endpoint.h"

#include <string>

namespace mustardtrail::http
{

/// Duplicate descriptor of a connection's socket, for simulated partitions. While it is open, closing the connection sends
/// nothing to the server. Buffers writes during a partition, as a kernel's send buffer does while packets are lost.
class duplicated_socket
{
public:
    duplicated_socket(const endpoint &peer, int descriptor);
    ~duplicated_socket();
    duplicated_socket(const duplicated_socket &) = delete;
    duplicated_socket &operator=(const duplicated_socket &) = delete;

    const endpoint &peer() const;
    void appendPending(const std::string &bytes);
    /// Sends the pending bytes without blocking; bytes that the kernel does not accept at once are dropped.
    void sendPending();

private:
    endpoint m_peer;
    int m_descriptor;
    std::string m_pending;
};

} // namespace mustardtrail::http
