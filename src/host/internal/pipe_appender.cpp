#include "host/internal/pipe_appender.h"

#include <poll.h>
#include <unistd.h>

namespace mustardtrail::host
{

pipe_appender::pipe_appender(int descriptor)
    : m_descriptor(descriptor)
{
}

pipe_appender::~pipe_appender()
{
    destructorImpl();
}

void pipe_appender::close()
{
    closed = true;
}

std::uint64_t pipe_appender::dropped() const
{
    return m_dropped;
}

void pipe_appender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::string line = formatEvent(event);
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line += '\n';
    }
    pollfd state{ m_descriptor, POLLOUT, 0 };
    const bool hasRoom = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    if (!hasRoom || ::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++m_dropped;
    }
}

} // namespace mustardtrail::host
