#pragma once

#include "node/entry_actions.h"
#include "programs/entry/attempt_link.h"
#include "programs/entry/payload.h"
#include "request/backend_attempt_events.h"

#include <boost/asio/awaitable.hpp>

namespace mustardtrail::entry
{

/// One connection of an attempt to its backend server; reports what happens on it to the node.
class backend_link final : public attempt_link, public std::enable_shared_from_this<backend_link>
{
public:
    backend_link(entry_host &host, attempt_id attempt, request_id request, int connection);

    boost::asio::awaitable<void> open(node::open_backend action, std::shared_ptr<const payload> content);
    boost::asio::awaitable<void> resume(node::resume_backend action);

private:
    boost::asio::awaitable<void> read(std::shared_ptr<http::response_stream> stream, bool isEngine);
    boost::asio::awaitable<void> readEngine(http::response_stream &stream);
    boost::asio::awaitable<void> readService(http::response_stream &stream);
    boost::asio::awaitable<void> readRefusal(http::response_stream &stream);
    bool reportEvent(const std::string &data);
    void report(const request::backend_event &event);

    entry_host &m_host;
    attempt_id m_attempt;
    request_id m_request;
    int m_connection;
    bool m_ended = false; ///< The end of the answer was reported.
};

} // namespace mustardtrail::entry
