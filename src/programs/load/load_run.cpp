#include "programs/load/load_run.h"

#include "api/event_parser.h"
#include "http/client.h"
#include "programs/load/answer_check.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <memory>
#include <thread>

namespace mustardtrail::load
{

namespace asio = boost::asio;
using wall = std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds longestSilence{ 120'000 };
constexpr std::chrono::milliseconds startDelay{ 100 }; ///< So that the first request is not late.

/// What all strands of a run share; each outcome has one writer.
struct run_state {
    const load_options &options;
    const std::vector<planned_request> &plan;
    std::vector<request_outcome> outcomes;
    wall::time_point start;
};

http::request_message messageOf(const load_options &options, const planned_request &request, const std::string &prompt)
{
    http::request_message message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Customer", request.customer);
    message.headers.add("Mustardtrail-Class", request.workClass);
    std::string body = R"({"model":)" + boost::json::serialize(boost::json::string(options.model));
    body += R"(,"stream":true,"max_tokens":)" + std::to_string(options.answerTokens);
    body += R"(,"prompt":)" + boost::json::serialize(boost::json::string(prompt)) + "}";
    message.body = std::make_shared<const std::string>(std::move(body));
    return message;
}

asio::awaitable<void> readStream(http::response_stream &stream, gathered_answer &answer, wall::time_point &firstToken)
{
    api::event_parser parser;
    while (true) {
        const auto piece = co_await stream.read();
        if (!piece) {
            co_return;
        }
        if (piece->empty()) {
            answer.isWhole = true;
            co_return;
        }
        if (answer.status != 200) {
            answer.errorBody += *piece;
            continue;
        }
        parser.push(*piece);
        for (auto data = parser.next(); data; data = parser.next()) {
            takeEvent(answer, *data);
            if (firstToken == wall::time_point() && !answer.text.empty()) {
                firstToken = wall::now();
            }
        }
    }
}

asio::awaitable<void> sendOne(run_state &state, http::client &client, size_t index)
{
    const planned_request &request = state.plan[index];
    const std::string prompt = promptText(state.options.seed, request.promptNumber, request.promptTokens);
    const std::string expected = state.options.checksText ? expectedText(prompt, state.options.answerTokens) : std::string();
    http::call_limits limits;
    limits.firstByte = longestSilence;
    limits.progress = longestSilence;
    gathered_answer answer;
    wall::time_point firstToken;
    auto opened = co_await client.open(state.options.entries[request.entry], messageOf(state.options, request, prompt), limits);
    if (opened) {
        answer.status = (*opened)->status();
        answer.headers = (*opened)->headers();
        co_await readStream(**opened, answer, firstToken);
    }
    const wall::time_point planned = state.start + request.at;
    request_outcome outcome = judge(answer, expected);
    outcome.took = wall::now() - planned;
    outcome.firstToken = firstToken == wall::time_point() ? outcome.took : firstToken - planned;
    if (!opened) {
        outcome.code = toString(opened.error().code);
        outcome.verdict = toString(opened.error().outcome);
    }
    state.outcomes[index] = std::move(outcome);
}

/// Starts every n-th request of the plan at its time.
asio::awaitable<void> arrivals(run_state &state, http::client &client, size_t first, size_t step)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    for (size_t index = first; index < state.plan.size(); index += step) {
        boost::system::error_code ignored;
        timer.expires_at(state.start + state.plan[index].at);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        asio::co_spawn(executor, sendOne(state, client, index), asio::detached);
    }
}

} // namespace

std::vector<request_outcome> runLoad(const load_options &options, const std::vector<planned_request> &plan)
{
    asio::io_context context(options.threads);
    run_state state{ options, plan, std::vector<request_outcome>(plan.size()), wall::now() + startDelay };
    std::vector<std::unique_ptr<http::client>> clients;
    const auto strands = static_cast<size_t>(options.threads);
    for (size_t index = 0; index < strands; ++index) {
        const auto strand = asio::make_strand(context);
        clients.push_back(std::make_unique<http::client>(strand));
        asio::co_spawn(strand, arrivals(state, *clients.back(), index, strands), asio::detached);
    }
    std::vector<std::thread> threads;
    for (int index = 0; index < options.threads; ++index) {
        threads.emplace_back([&context] {
            context.run();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return std::move(state.outcomes);
}

} // namespace mustardtrail::load
