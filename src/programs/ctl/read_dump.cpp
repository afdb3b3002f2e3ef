#include "programs/ctl/read_dump.h"

#include "http/client.h"
#include "http/status.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace mustardtrail::ctl
{

namespace
{

constexpr std::chrono::milliseconds limit{ 3'000 };
constexpr size_t largestDumpBytes = 256 * 1024 * 1024;

boost::asio::awaitable<void> ask(http::client &client, endpoint to, std::optional<std::string> &body)
{
    http::request_message message;
    message.target = "/dump";
    http::call_limits limits = http::call_limits::within(limit);
    limits.bodyBytes = largestDumpBytes;
    const auto answer = co_await client.call(to, std::move(message), limits);
    if (answer && answer->status == http::statusOk) {
        body = answer->body;
    }
}

} // namespace

std::optional<std::string> readDump(const std::string &address)
{
    const auto to = endpointFromString(address);
    if (!to) {
        return std::nullopt;
    }
    boost::asio::io_context context(1);
    http::client client(context.get_executor());
    std::optional<std::string> body;
    boost::asio::co_spawn(context, ask(client, *to, body), boost::asio::detached);
    context.run();
    return body;
}

} // namespace mustardtrail::ctl
