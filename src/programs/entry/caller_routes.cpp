#include "programs/entry/caller_routes.h"

#include "api/completion_reader.h"
#include "base/hash.h"
#include "http/status.h"
#include "placement/length_class.h"
#include "programs/entry/caller_error.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::entry
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view servicePrefix = "/service/";
constexpr std::string_view bearer = "Bearer ";
constexpr size_t longestIdBytes = 128;

tl::unexpected<error> refusal(error_code code, std::string detail)
{
    return tl::unexpected(error{ code, verdict::not_run, std::move(detail), {} });
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

caller_routes::caller_routes(entry_host &host, entry_metrics &metrics, std::uint64_t incarnation)
    : m_host(host)
    , m_writer(host, metrics)
    , m_incarnation(incarnation)
{
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
    co_await exchange.respond(http::makeResponse(http::statusOk, json::serialize(list), "application/json"));
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
    request.callerRetry = isSecondAttempt(message.headers);
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

void caller_routes::start(http::exchange &exchange, running_answer &answer, std::shared_ptr<const payload> content)
{
    answer.channel = std::make_shared<caller_channel>(exchange.executor());
    answer.arrival = m_host.clock().now();
    answer.head.request = answer.request.id;
    exchange.onDisconnect([this, id = answer.request.id] {
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
        co_await m_writer.refuse(exchange, answer, head.error());
        co_return;
    }
    answer.request = std::move(*head);
    const auto fields = api::readCompletion(*exchange.request().body, kind);
    if (!fields) {
        co_await m_writer.refuse(exchange, answer, fields.error());
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
    co_await m_writer.writeCompletion(exchange, answer);
    m_longRunning -= isLong ? 1 : 0;
}

asio::awaitable<void> caller_routes::serveService(http::exchange &exchange)
{
    running_answer answer;
    auto head = readHead(exchange.request());
    if (!head) {
        co_await m_writer.refuse(exchange, answer, head.error());
        co_return;
    }
    answer.request = std::move(*head);
    const http::request_message &message = exchange.request();
    std::string_view name = message.path().substr(servicePrefix.size());
    name = name.substr(0, name.find('/'));
    if (name.empty()) {
        const error unknown{ error_code::request_unknown_path, verdict::not_run, "", {} };
        co_await m_writer.refuse(exchange, answer, unknown);
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
    co_await m_writer.writeService(exchange, answer);
}

} // namespace mustardtrail::entry
