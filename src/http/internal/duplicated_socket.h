#pragma once

#include "base/endpoint.h"

#include <string>

namespace mustardtrail::http
{

/// Second descriptor of a connection's socket. While it is open, closing the connection sends nothing to the server,
/// and what was written during a cut waits here, as in the send buffer of a system whose packets are lost.
class duplicated_socket
{
public:
    duplicated_socket(const endpoint &peer, int descriptor);
    ~duplicated_socket();
    duplicated_socket(const duplicated_socket &) = delete;
    duplicated_socket &operator=(const duplicated_socket &) = delete;

    const endpoint &peer() const;
    void appendPending(const std::string &bytes);
    /// Writes what was kept, as far as the system takes it at once.
    void sendPending();

private:
    endpoint m_peer;
    int m_descriptor;
    std::string m_pending;
};

} // namespace mustardtrail::http
