#pragma once

#include "http/client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace mustardtrail::host
{

/// JSON-RPC call over HTTP POST /rpc. Errors: peer_connect_failed when the peer is unreachable, peer_connection_lost
/// when the connection is lost or times out, peer_message_invalid for an error response or an unreadable one.
boost::asio::awaitable<result<boost::json::value>> callRpc(
    http::client &client, endpoint to, std::string method, boost::json::value parameters, std::chrono::milliseconds timeout);

} // namespace mustardtrail::host
