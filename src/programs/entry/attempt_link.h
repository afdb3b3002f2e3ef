#pragma once

#include "http/client.h"

#include <memory>

namespace mustardtrail::entry
{

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

private:
    bool m_closed = false;
    std::shared_ptr<http::response_stream> m_stream;
};

} // namespace mustardtrail::entry
