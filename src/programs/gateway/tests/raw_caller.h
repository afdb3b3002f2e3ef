#pragma once

#include "base/endpoint.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace mustardtrail::gateway::testing
{

/// Caller that sends any bytes on one connection and keeps all that it receives until the other side closes.
class raw_caller
{
public:
    raw_caller(const boost::asio::any_io_executor &executor, const endpoint &to, std::string bytes);

    /// Call it once what was sent before has been written.
    void send(std::string bytes);
    /// Closes the connection, like a caller that does not wait any longer.
    void leave();
    bool isClosed() const;
    /// "STATUS BODY" where exactly one complete answer was received; otherwise what was received instead.
    std::string onlyAnswer() const;
    /// "whole BODY" or "broken BODY" of a 200 answer that is all that was received; otherwise what was received instead.
    std::string stream() const;

private:
    struct connection;

    std::shared_ptr<connection> m_connection;
};

} // namespace mustardtrail::gateway::testing
