#pragma once

#include <boost/asio/io_context.hpp>

namespace mustardtrail::gateway::testing
{

/// Event loop whose suspended coroutines can be destroyed before the objects that they refer to.
class ending_context : public boost::asio::io_context
{
public:
    /// Destroys all handlers and coroutines. The loop must not run again.
    void destroyHandlers()
    {
        shutdown();
    }
};

} // namespace mustardtrail::gateway::testing
