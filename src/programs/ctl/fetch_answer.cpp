#include "programs/ctl/fetch_answer.h"

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace mustardtrail::ctl
{

namespace
{

constexpr std::chrono::milliseconds limit{ 3'000 };
constexpr size_t largestBodyBytes = 256 * 1024 * 1024; ///< The dump of a process is the largest answer.

boost::asio::awaitable<void> ask(http::client &client, endpoint to, std::string target, std::optional<fetched_answer> &fetched)
{
    http::request_message message;
    message.target = std::move(target);
    http::call_limits limits = http::call_limits::within(limit);
    limits.bodyBytes = largestBodyBytes;
    const auto answer = co_await client.call(to, std::move(message), limits);
    if (answer) {
        fetched = fetched_answer{ answer->status, answer->body };
    }
}

} // namespace

std::optional<fetched_answer> fetchAnswer(const std::string &address, const std::string &target)
{
    const auto to = endpointFromString(address);
    if (!to) {
        return std::nullopt;
    }
    boost::asio::io_context context(1);
    http::client client(context.get_executor());
    std::optional<fetched_answer> fetched;
    boost::asio::co_spawn(context, ask(client, *to, target, fetched), boost::asio::detached);
    context.run();
    return fetched;
}

} // namespace mustardtrail::ctl
