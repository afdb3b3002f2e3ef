#include "host/rpc_call.h"

#include "http/status.h"
#include "rpc/rpc_message.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::host
{

namespace json = boost::json;

namespace
{

constexpr size_t maxResponseBytes = 64 * 1024 * 1024;

error peerError(error failure)
{
    failure.code = failure.code == error_code::backend_connect_failed ? error_code::peer_connect_failed : error_code::peer_connection_lost;
    return failure;
}

result<json::value> valueOf(const http::response_message &answer)
{
    const rpc::rpc_response response = rpc::readResponse(answer.body);
    if (answer.status != http::statusOk || !response.ok) {
        return tl::unexpected(error{ error_code::peer_message_invalid, verdict::ran, response.problem, {} });
    }
    json::error_code failure;
    json::value value = json::parse(response.result, failure);
    if (failure) {
        return tl::unexpected(error{ error_code::peer_message_invalid, verdict::ran, failure.message(), {} });
    }
    return value;
}

} // namespace

boost::asio::awaitable<result<json::value>> callRpc(
    http::client &client, endpoint to, std::string method, json::value parameters, std::chrono::milliseconds timeout)
{
    http::request_message message;
    message.method = "POST";
    message.target = "/rpc";
    message.headers.add("Content-Type", "application/json");
    message.body = std::make_shared<const std::string>(rpc::makeRequest(method, json::serialize(parameters)));
    http::call_limits limits = http::call_limits::within(timeout);
    limits.bodyBytes = maxResponseBytes;
    const auto answer = co_await client.call(to, std::move(message), limits);
    if (!answer) {
        co_return tl::unexpected(peerError(answer.error()));
    }
    co_return valueOf(*answer);
}

} // namespace mustardtrail::host
