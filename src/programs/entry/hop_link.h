#pragma once

#include "node/entry_actions.h"
#include "programs/entry/attempt_link.h"
#include "programs/entry/payload.h"

#include <boost/asio/awaitable.hpp>

namespace mustardtrail::entry
{

/// Forwarded attempt: sends it to the owner and reports the owner's events to the node.
class hop_link final : public attempt_link, public std::enable_shared_from_this<hop_link>
{
public:
    hop_link(entry_host &host, attempt_id attempt);

    boost::asio::awaitable<void> run(node::forward_attempt action, std::shared_ptr<const payload> content);

private:
    boost::asio::awaitable<void> read(std::shared_ptr<http::response_stream> stream);
    bool reportEvent(const std::string &data);
    void fail(const error &failure);

    entry_host &m_host;
    attempt_id m_attempt;
    time_point m_arrival{}; ///< Of the request at this instance.
    bool m_ended = false;
};

} // namespace mustardtrail::entry
