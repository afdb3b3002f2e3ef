#pragma once

#include "http/client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace mustardtrail::host
{

/// Makes a JSON-RPC call over HTTP POST /rpc. Fails with peer_connect_failed if no connection can be opened, with
/// peer_message_invalid if the response is an error or cannot be parsed, and with peer_connection_lost otherwise.
boost::asio::awaitable<result<boost::json::value>> callRpc(
    http::client &client, endpoint to, std::string method, boost::json::value parameters, std::chrono::milliseconds timeout);

} // namespace mustardtrail::host
