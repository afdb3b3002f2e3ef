#include "proof/fleet/blocking_caller.h"

#include "api/event_parser.h"
#include "base/json_access.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>

namespace mustardtrail::proof
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using wall = std::chrono::steady_clock;

namespace
{

constexpr milliseconds controlLimit{ 3'000 };

milliseconds since(wall::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(wall::now() - start);
}

asio::awaitable<void> run(http::client &client, endpoint to, http::request_message message, milliseconds limit, caller_answer &answer)
{
    const auto start = wall::now();
    http::call_limits limits = http::call_limits::within(limit);
    limits.freshConnection = true;
    auto opened = co_await client.open(to, std::move(message), limits);
    if (!opened) {
        answer.failure = opened.error();
        co_return;
    }
    answer.status = (*opened)->status();
    answer.headers = (*opened)->headers();
    while (true) {
        const auto piece = co_await (*opened)->read();
        if (!piece) {
            answer.failure = piece.error();
            break;
        }
        if (answer.body.empty()) {
            answer.firstToken = since(start);
        }
        if (piece->empty()) {
            answer.isWhole = true;
            break;
        }
        answer.body += *piece;
    }
    answer.took = since(start);
}

std::string textOfChoice(const json::object &message)
{
    const json::array *choices = json_access::arrayAt(message, "choices");
    if (choices == nullptr || choices->empty() || !choices->front().is_object()) {
        return {};
    }
    const json::object &choice = choices->front().get_object();
    for (const char *part : { "delta", "message" }) {
        if (const json::object *inner = json_access::objectAt(choice, part)) {
            return json_access::textOr(*inner, "content");
        }
    }
    return json_access::textOr(choice, "text");
}

} // namespace

caller_answer callAndWait(const endpoint &to, http::request_message message, milliseconds limit)
{
    asio::io_context context(1);
    http::client client(context.get_executor());
    caller_answer answer;
    asio::co_spawn(context, run(client, to, std::move(message), limit, answer), asio::detached);
    context.run();
    return answer;
}

json::object control(const endpoint &to, const std::string &body)
{
    http::request_message message;
    message.method = "POST";
    message.target = "/control";
    message.body = std::make_shared<const std::string>(body);
    return json_access::objectFromText(callAndWait(to, std::move(message), controlLimit).body);
}

json::object getJson(const endpoint &to, const std::string &target)
{
    http::request_message message;
    message.target = target;
    return json_access::objectFromText(callAndWait(to, std::move(message), controlLimit).body);
}

std::string answerText(const caller_answer &answer)
{
    if (!answer.body.starts_with("data: ")) {
        return textOfChoice(json_access::objectFromText(answer.body));
    }
    api::event_parser parser;
    parser.push(answer.body);
    std::string text;
    while (const auto data = parser.next()) {
        text += textOfChoice(json_access::objectFromText(*data));
    }
    return text;
}

} // namespace mustardtrail::proof
