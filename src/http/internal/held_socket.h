#pragma once

#include "base/endpoint.h"

#include <string>

namespace mustardtrail::http
{

/// Second descriptor of a connection's socket. While it is open, closing the connection sends nothing to the server,
/// and what was written during a cut waits here, as in the send buffer of a system whose packets are lost.
class held_socket
{
public:
    held_socket(const endpoint &peer, int descriptor);
    ~held_socket();
    held_socket(const held_socket &) = delete;
    held_socket &operator=(const held_socket &) = delete;

    const endpoint &peer() const;
    void keepForLater(const std::string &bytes);
    /// Writes what was kept, as far as the system takes it at once.
    void sendKept();

private:
    endpoint m_peer;
    int m_descriptor;
    std::string m_kept;
};

} // namespace mustardtrail::http
