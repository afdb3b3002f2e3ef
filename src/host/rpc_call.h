#pragma once

#include "http/client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace mustardtrail::host
{

/// JSON-RPC call over HTTP POST /rpc. A peer that cannot be reached is peer_connect_failed, a lost
/// connection peer_connection_lost, a refused or unreadable answer peer_message_invalid.
boost::asio::awaitable<result<boost::json::value>> callRpc(
    http::client &client, endpoint to, std::string method, boost::json::value parameters, std::chrono::milliseconds timeout);

} // namespace mustardtrail::host
