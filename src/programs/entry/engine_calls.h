#pragma once

#include "http/client.h"
#include "node/entry_actions.h"
#include "node/entry_events.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace mustardtrail::entry
{

/// Reads the report, the cache events and, when asked, the groups of an engine.
boost::asio::awaitable<node::engine_read> readEngine(http::client &client, node::read_engine action, const monotonic_clock &clock);

/// Makes one call of a group to an engine.
boost::asio::awaitable<group::engine_replied> callEngine(
    http::client &client, node::call_engine action, std::shared_ptr<const std::string> prompt, const monotonic_clock &clock);

/// Ends a stream at an engine; true when the engine answered.
boost::asio::awaitable<bool> cancelAtEngine(http::client &client, node::cancel_backend action, const monotonic_clock &clock);

boost::asio::awaitable<void> releaseAtEngine(http::client &client, node::release_group action, const monotonic_clock &clock);

} // namespace mustardtrail::entry
