#include "proof/bench/timed_caller.h"

#include "api/event_parser.h"
#include "proof/fleet/expected_answer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace mustardtrail::proof
{

namespace asio = boost::asio;
using wall = std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds longestWait{ 30'000 };

asio::awaitable<void> callInto(http::client &client, endpoint to, http::request_message message, timed_answer &answer, bool &isDone)
{
    answer = co_await callTimed(client, std::move(to), std::move(message));
    isDone = true;
}

} // namespace

http::request_message completionRequest(const std::string &workClass, size_t promptBytes, int maxTokens)
{
    http::request_message message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Customer", "hotel");
    message.headers.add("Mustardtrail-Class", workClass);
    const std::string prompt = boost::json::serialize(boost::json::string(testPrompt(promptBytes)));
    message.body = std::make_shared<const std::string>(
        R"({"model":"pay","stream":true,"max_tokens":)" + std::to_string(maxTokens) + R"(,"prompt":)" + prompt + "}");
    return message;
}

asio::awaitable<timed_answer> callTimed(http::client &client, endpoint to, http::request_message message)
{
    timed_answer timed;
    http::call_limits limits;
    limits.firstByte = longestWait;
    limits.progress = longestWait;
    api::event_parser parser;
    const auto start = wall::now();
    auto opened = co_await client.open(std::move(to), std::move(message), limits);
    if (!opened) {
        timed.answer.failure = opened.error();
        co_return timed;
    }
    timed.answer.status = (*opened)->status();
    timed.answer.headers = (*opened)->headers();
    bool isOpen = true;
    while (isOpen) {
        const auto piece = co_await (*opened)->read();
        isOpen = piece && !piece->empty();
        if (!piece) {
            timed.answer.failure = piece.error();
            continue;
        }
        timed.answer.isWhole = piece->empty();
        timed.answer.body += *piece;
        parser.push(*piece);
        if (timed.firstToken.count() == 0 && parser.next()) {
            timed.firstToken = wall::now() - start;
        }
    }
    timed.took = wall::now() - start;
    co_return timed;
}

bool isRight(const caller_answer &answer, const std::string &expected)
{
    return answer.status == 200 && answer.isWhole && answerText(answer) == expected;
}

timed_caller::timed_caller()
    : m_context(1)
    , m_client(m_context.get_executor())
{
}

timed_answer timed_caller::call(const endpoint &to, http::request_message message)
{
    timed_answer answer;
    bool isDone = false;
    asio::co_spawn(m_context, callInto(m_client, to, std::move(message), answer, isDone), asio::detached);
    m_context.restart();
    while (!isDone && m_context.run_one() != 0) {
    }
    return answer;
}

} // namespace mustardtrail::proof
