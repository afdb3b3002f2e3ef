#include "programs/entry/caller_routes.h"

#include "api/answer_writer.h"
#include "api/completion_reader.h"
#include "base/hash.h"
#include "config/message_catalogue.h"
#include "host/log.h"
#include "http/status.h"
#include "placement/length_class.h"
#include "programs/entry/service_head.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mustardtrail::entry
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::string_view servicePrefix = "/service/";
constexpr std::string_view bearer = "Bearer ";
constexpr size_t longestIdBytes = 128;

tl::unexpected<error> refusal(error_code code, std::string detail)
{
    return tl::unexpected(error{ code, verdict::not_run, std::move(detail), {} });
}

std::string messageOf(const error &failure)
{
    std::string text(config::messageTitle(failure.code, config::language::english));
    if (!failure.detail.empty()) {
        text += " (" + failure.detail + ")";
    }
    return text;
}

http::header_list eventHeaders(const request_id &request)
{
    http::header_list headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-cache");
    headers.add("Mustardtrail-Request", request.str());
    return headers;
}

std::string customerOf(const http::header_list &headers)
{
    std::string customer(headers.find("Mustardtrail-Customer"));
    const std::string_view authorization = headers.find("Authorization");
    if (customer.empty() && authorization.starts_with(bearer)) {
        customer = authorization.substr(bearer.size());
    }
    return customer;
}

bool isSecondAttempt(const http::header_list &headers)
{
    const std::string_view marked = headers.find("Mustardtrail-Attempt");
    const std::string_view retries = headers.find("X-Stainless-Retry-Count");
    return (!marked.empty() && marked != "1") || (!retries.empty() && retries != "0");
}

} // namespace

/// One answer while it is written.
struct caller_routes::running_answer {
    request::caller_request request;
    api::answer_head head;
    std::shared_ptr<caller_channel> channel;
    time_point arrival{};
    bool stream = false;
    bool includeUsage = false;
    bool sawOutput = false;
    bool longAlongside = false; ///< Another caller's long prompt ran when this request came.
    token_count newTokens = 0;
    std::string text; ///< Of an answer that is not streamed.
};

caller_routes::caller_routes(entry_host &host, entry_metrics &metrics, std::uint64_t incarnation)
    : m_host(host)
    , m_metrics(metrics)
    , m_incarnation(incarnation)
{
}

http::response_message badRequestAnswer(int status, int code, std::string_view detail)
{
    const error failure{ static_cast<error_code>(code), verdict::not_run, std::string(detail), {} };
    http::response_message answer = http::wholeAnswer(status, api::errorBody(failure, messageOf(failure)), "application/json");
    answer.headers.add("Mustardtrail-Verdict", std::string(toString(verdict::not_run)));
    return answer;
}

asio::awaitable<void> caller_routes::serve(http::exchange &exchange)
{
    const http::request_message &message = exchange.request();
    const auto path = message.path();
    const bool isCompletion = path == "/v1/completions" || path == "/v1/chat/completions";
    if (isCompletion && message.method == "POST") {
        co_await serveCompletion(exchange, path == "/v1/completions" ? api::completion_kind::text : api::completion_kind::chat);
    } else if (path == "/v1/models" && message.method == "GET") {
        co_await serveModels(exchange);
    } else if (path.starts_with(servicePrefix)) {
        co_await serveService(exchange);
    } else {
        const bool isKnown = isCompletion || path == "/v1/models";
        const error_code code = isKnown ? error_code::request_wrong_method : error_code::request_unknown_path;
        co_await exchange.respond(badRequestAnswer(api::httpStatusOf(code), static_cast<int>(code), path));
    }
}

asio::awaitable<void> caller_routes::serveModels(http::exchange &exchange)
{
    json::array models;
    const auto view = m_host.view();
    if (view->config) {
        for (const model_id &model : view->config->models) {
            models.push_back(
                json::object{ { "id", model.str() }, { "object", "model" }, { "created", 0 }, { "owned_by", "mustardtrail" } });
        }
    }
    const json::object list{ { "object", "list" }, { "data", std::move(models) } };
    co_await exchange.respond(http::wholeAnswer(http::statusOk, json::serialize(list), "application/json"));
}

result<request::caller_request> caller_routes::readHead(const http::request_message &message)
{
    request::caller_request request;
    const std::string number = std::to_string(m_nextRequest.fetch_add(1));
    request.id = request_id(m_host.settings().node.self.str() + "-" + std::to_string(m_incarnation) + "-" + number);
    request.customer = customer_id(customerOf(message.headers));
    request.workClass = class_id(std::string(message.headers.find("Mustardtrail-Class")));
    if (request.workClass.empty()) {
        request.workClass = class_id(m_host.settings().defaultClass);
    }
    request.idempotencyKey = message.headers.find("Idempotency-Key");
    request.secondAttempt = isSecondAttempt(message.headers);
    if (request.customer.empty()) {
        return refusal(error_code::request_header_missing, "header=Mustardtrail-Customer");
    }
    if (request.workClass.empty()) {
        return refusal(error_code::request_header_missing, "header=Mustardtrail-Class");
    }
    if (request.customer.str().size() > longestIdBytes || request.workClass.str().size() > longestIdBytes) {
        return refusal(error_code::request_malformed, "header too long");
    }
    return request;
}

std::string caller_routes::knownClass(const class_id &workClass) const
{
    const auto view = m_host.view();
    return view->config && view->config->classes.contains(workClass) ? workClass.str() : "-";
}

void caller_routes::start(http::exchange &exchange, running_answer &answer, std::shared_ptr<const payload> content)
{
    answer.channel = std::make_shared<caller_channel>(exchange.executor());
    answer.arrival = m_host.clock().now();
    answer.head.request = answer.request.id;
    exchange.onGone([this, id = answer.request.id] {
        asio::post(m_host.strand(), [this, id] {
            m_host.callerGone(id);
        });
    });
    asio::post(m_host.strand(), [this, request = answer.request, session = caller_session{ std::move(content), answer.channel }] {
        m_host.addCaller(request, session);
    });
}

asio::awaitable<void> caller_routes::serveCompletion(http::exchange &exchange, api::completion_kind kind)
{
    running_answer answer;
    auto head = readHead(exchange.request());
    if (!head) {
        co_await refuse(exchange, answer, head.error());
        co_return;
    }
    answer.request = std::move(*head);
    const auto fields = api::readCompletion(*exchange.request().body, kind);
    if (!fields) {
        co_await refuse(exchange, answer, fields.error());
        co_return;
    }
    answer.request.model = model_id(fields->model);
    answer.request.promptTokens = fields->promptTokens;
    answer.request.maxNewTokens = fields->maxNewTokens;
    answer.request.prefixHash = hash64(answer.request.customer.str(), fields->leadingBlockHash);
    answer.request.fingerprint = hash64(*exchange.request().body);
    answer.stream = fields->stream;
    answer.includeUsage = fields->includeUsage;
    answer.head.kind = kind;
    answer.head.model = fields->model;
    answer.head.createdAt = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    const auto content = std::make_shared<payload>();
    content->target = exchange.request().target;
    content->contentType = "application/json";
    content->kind = kind;
    content->body = exchange.request().body;
    content->bodyObjectStart = fields->bodyObjectStart;
    const bool isLong = fields->promptTokens > placement::longPromptLimit;
    answer.longAlongside = m_longRunning.load() > 0;
    m_longRunning += isLong ? 1 : 0;
    start(exchange, answer, content);
    co_await writeCompletion(exchange, answer);
    m_longRunning -= isLong ? 1 : 0;
}

asio::awaitable<void> caller_routes::serveService(http::exchange &exchange)
{
    running_answer answer;
    auto head = readHead(exchange.request());
    if (!head) {
        co_await refuse(exchange, answer, head.error());
        co_return;
    }
    answer.request = std::move(*head);
    const http::request_message &message = exchange.request();
    std::string_view name = message.path().substr(servicePrefix.size());
    name = name.substr(0, name.find('/'));
    if (name.empty()) {
        const error unknown{ error_code::request_unknown_path, verdict::not_run, "", {} };
        co_await refuse(exchange, answer, unknown);
        co_return;
    }
    answer.request.service = service_id(std::string(name));
    answer.request.fingerprint = hash64(*message.body, hash64(message.target));
    const auto content = std::make_shared<payload>();
    content->method = message.method;
    content->target = message.target;
    content->contentType = message.headers.find("Content-Type");
    content->idempotencyKey = answer.request.idempotencyKey;
    content->body = message.body;
    start(exchange, answer, content);
    co_await writeService(exchange, answer);
}

asio::awaitable<void> caller_routes::writeCompletion(http::exchange &exchange, running_answer &answer)
{
    while (true) {
        const caller_event event = co_await answer.channel->next();
        if (const auto *piece = std::get_if<request::relay_output>(&event)) {
            if (!co_await relay(exchange, answer, *piece)) {
                asio::post(m_host.strand(), [this, id = answer.request.id] {
                    m_host.callerGone(id);
                });
                co_return;
            }
        } else if (const auto *end = std::get_if<request::complete_request>(&event)) {
            co_await finish(exchange, answer, end->finishReason);
            co_return;
        } else {
            co_await refuse(exchange, answer, std::get<request::fail_request>(event).failure);
            co_return;
        }
    }
}

asio::awaitable<bool> caller_routes::relay(http::exchange &exchange, running_answer &answer, const request::relay_output &piece)
{
    if (!answer.sawOutput) {
        answer.sawOutput = true;
        m_metrics.firstToken(
            answer.request.promptTokens, knownClass(answer.request.workClass), answer.longAlongside, m_host.clock().now() - answer.arrival);
    }
    answer.newTokens += piece.tokens;
    if (!answer.stream) {
        answer.text += piece.text;
        co_return true;
    }
    // One await in each statement: g++ 12 destroys temporaries of a conditional await twice.
    if (!exchange.hasStarted()) {
        http::header_list headers = eventHeaders(answer.request.id);
        const bool isStarted = co_await exchange.startStream(200, std::move(headers));
        if (!isStarted) {
            co_return false;
        }
    }
    const std::string event = api::answerEvent(answer.head, piece.text, "");
    co_return co_await exchange.write(event);
}

asio::awaitable<void> caller_routes::finish(http::exchange &exchange, running_answer &answer, const std::string &reason)
{
    logEnd(answer, nullptr);
    const std::string &finishReason = reason.empty() ? "stop" : reason;
    if (!answer.stream) {
        http::response_message message;
        message.headers.add("Content-Type", "application/json");
        message.headers.add("Mustardtrail-Request", answer.request.id.str());
        message.headers.add("Mustardtrail-Verdict", std::string(toString(verdict::ran)));
        message.body = api::wholeAnswer(answer.head, answer.text, finishReason, answer.request.promptTokens, answer.newTokens);
        co_await exchange.respond(std::move(message));
        co_return;
    }
    if (!exchange.hasStarted()) {
        co_await exchange.startStream(200, eventHeaders(answer.request.id));
    }
    std::string tail = api::answerEvent(answer.head, "", finishReason);
    if (answer.includeUsage) {
        tail += api::usageEvent(answer.head, answer.request.promptTokens, answer.newTokens);
    }
    tail += api::doneEvent();
    co_await exchange.write(tail);
    co_await exchange.finishStream();
}

// A stream that has begun cannot change its status: the error is its last event, and no end mark follows.
asio::awaitable<void> caller_routes::refuse(http::exchange &exchange, running_answer &answer, const error &failure)
{
    logEnd(answer, &failure);
    if (!exchange.hasStarted()) {
        co_await exchange.respond(errorAnswer(answer, failure));
        co_return;
    }
    const std::string event = "data: " + api::errorBody(failure, messageOf(failure)) + "\n\n";
    co_await exchange.write(event);
    co_await exchange.finishStream();
}

http::response_message caller_routes::errorAnswer(const running_answer &answer, const error &failure) const
{
    http::response_message message;
    message.status = api::httpStatusOf(failure.code);
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Verdict", std::string(toString(failure.outcome)));
    if (!answer.request.id.empty()) {
        message.headers.add("Mustardtrail-Request", answer.request.id.str());
    }
    if (failure.retryAfter) {
        const auto wholeSeconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter).count());
        message.headers.add("Retry-After", std::to_string(wholeSeconds));
        message.headers.add("Retry-After-Ms", std::to_string(failure.retryAfter->count()));
    }
    if (failure.outcome != verdict::not_run) {
        message.headers.add("X-Should-Retry", "false");
    }
    message.body = api::errorBody(failure, messageOf(failure));
    return message;
}

asio::awaitable<void> caller_routes::writeService(http::exchange &exchange, running_answer &answer)
{
    http::response_message message;
    while (true) {
        const caller_event event = co_await answer.channel->next();
        if (const auto *piece = std::get_if<request::relay_output>(&event)) {
            if (!answer.sawOutput) {
                answer.sawOutput = true;
                message = serviceHeadFrom(piece->text);
            } else {
                message.body += piece->text;
            }
        } else if (std::holds_alternative<request::complete_request>(event)) {
            logEnd(answer, nullptr);
            message.headers.add("Mustardtrail-Verdict", std::string(toString(verdict::ran)));
            message.headers.add("Mustardtrail-Request", answer.request.id.str());
            co_await exchange.respond(std::move(message));
            co_return;
        } else {
            co_await refuse(exchange, answer, std::get<request::fail_request>(event).failure);
            co_return;
        }
    }
}

void caller_routes::logEnd(const running_answer &answer, const error *failure) const
{
    const std::string workClass = knownClass(answer.request.workClass);
    const auto took
        = answer.request.id.empty() ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(m_host.clock().now() - answer.arrival);
    log_line line(failure == nullptr ? "request_finished" : "request_failed");
    line.add("request", answer.request.id.str()).add("customer", answer.request.customer.str()).add("class", workClass);
    line.add("prompt_tokens", answer.request.promptTokens).add("new_tokens", answer.newTokens);
    if (failure == nullptr) {
        line.add("took", took);
        m_metrics.finished(workClass, m_host.settings().dataCentre.str(), took);
    } else {
        line.add("code", toString(failure->code)).add("verdict", toString(failure->outcome)).add("detail", failure->detail);
        m_metrics.failed(workClass, m_host.settings().dataCentre.str(), *failure);
    }
    host::log(failure == nullptr ? host::log_level::info : host::log_level::warning, line);
}

} // namespace mustardtrail::entry
