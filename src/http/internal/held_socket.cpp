#include "http/internal/held_socket.h"

#include <sys/socket.h>
#include <unistd.h>

namespace mustardtrail::http
{

held_socket::held_socket(const endpoint &peer, int descriptor)
    : m_peer(peer)
    , m_descriptor(::dup(descriptor))
{
}

held_socket::~held_socket()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

const endpoint &held_socket::peer() const
{
    return m_peer;
}

void held_socket::keepForLater(const std::string &bytes)
{
    m_kept += bytes;
}

void held_socket::sendKept()
{
    if (!m_kept.empty() && m_descriptor >= 0) {
        ::send(m_descriptor, m_kept.data(), m_kept.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        m_kept.clear();
    }
}

} // namespace mustardtrail::http
