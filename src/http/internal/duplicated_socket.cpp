#include "http/internal/duplicated_socket.h"

#include <sys/socket.h>
#include <unistd.h>

namespace mustardtrail::http
{

duplicated_socket::duplicated_socket(const endpoint &peer, int descriptor)
    : m_peer(peer)
    , m_descriptor(::dup(descriptor))
{
}

duplicated_socket::~duplicated_socket()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

const endpoint &duplicated_socket::peer() const
{
    return m_peer;
}

void duplicated_socket::appendPending(const std::string &bytes)
{
    m_pending += bytes;
}

void duplicated_socket::sendPending()
{
    if (!m_pending.empty() && m_descriptor >= 0) {
        ::send(m_descriptor, m_pending.data(), m_pending.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        m_pending.clear();
    }
}

} // namespace mustardtrail::http
