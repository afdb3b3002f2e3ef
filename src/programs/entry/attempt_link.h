#pragma once

#include "base/ids.h"
#include "http/client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace mustardtrail::entry
{

class entry_host;

/// Connection on which one attempt runs: to a backend server, or a hop to another instance.
class attempt_link
{
public:
    virtual ~attempt_link() = default;

    /// Ends the connection; nothing more is reported.
    void close()
    {
        m_closed = true;
        if (m_stream) {
            m_stream->close();
        }
    }

protected:
    bool isClosed() const
    {
        return m_closed;
    }
    void use(std::shared_ptr<http::response_stream> stream)
    {
        m_stream = std::move(stream);
    }
    /// Returns once little enough of the attempt's answer waits for its reader, or the link was closed.
    boost::asio::awaitable<void> waitForReader(const entry_host &host, const attempt_id &attempt) const;

private:
    bool m_closed = false;
    std::shared_ptr<http::response_stream> m_stream;
};

} // namespace mustardtrail::entry
