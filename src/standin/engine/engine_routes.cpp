#include "standin/engine/engine_routes.h"

#include "api/answer_writer.h"
#include "api/completion_reader.h"
#include "api/engine_event.h"
#include "base/json_access.h"
#include "standin/common/standin_host.h"
#include "standin/engine/answer_text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace mustardtrail::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds tick{ 5 };
constexpr std::chrono::milliseconds queuedComment{ 1'000 };
constexpr std::chrono::milliseconds defaultLease{ 5'000 };

std::int64_t numberFrom(std::string_view text, std::int64_t fallback)
{
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::uint64_t digestFrom(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t digest = fallback;
    std::from_chars(text.data(), text.data() + text.size(), digest);
    return digest;
}

http::response_message refusal(int status, std::string_view code, std::int64_t retryAfter)
{
    const json::string_view text(code.data(), code.size());
    return jsonAnswer(status,
        { { "error", { { "message", text }, { "type", "server_error" }, { "code", text } } },
            { "started", false },
            { "retry_after_ms", retryAfter } });
}

http::response_message empty(int status)
{
    return jsonAnswer(status, json::object());
}

http::header_list eventHeaders()
{
    http::header_list headers;
    headers.add("Content-Type", "text/event-stream");
    return headers;
}

std::string pieceEvent(const engine_stream &stream, std::uint64_t index)
{
    const stream_chunk &chunk = stream.chunks[index];
    const api::engine_event event{ api::engine_event::kind::piece, index, chunk.text, chunk.tokens, "", {} };
    return api::writeEngineEvent(event, stream.attempt);
}

std::string endEvent(const engine_stream &stream)
{
    const api::engine_event event{ api::engine_event::kind::finished, stream.chunks.size(), "", 0, "length", {} };
    return api::writeEngineEvent(event, stream.attempt);
}

} // namespace

engine_routes::engine_routes(asio::io_context &context, engine_options options, std::uint64_t incarnation)
    : m_context(context)
    , m_model(options, incarnation)
    , m_progress(context)
{
    for (const std::string &model : options.models) {
        m_loaded.push_back({ model, options.modelVersion });
    }
    m_progress.expires_at(asio::steady_timer::time_point::max());
    m_model.onProgress = [this] {
        m_progress.cancel();
    };
}

bool engine_routes::isPaused() const
{
    return m_clock.now() < m_pausedUntil;
}

asio::awaitable<void> engine_routes::run()
{
    asio::steady_timer timer(m_context);
    boost::system::error_code failure;
    while (!failure) {
        timer.expires_after(tick);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (!isPaused()) {
            m_model.advance(m_clock.now());
        }
    }
}

asio::awaitable<void> engine_routes::waitForProgress()
{
    boost::system::error_code ignored;
    co_await m_progress.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

result<engine_stream> engine_routes::readRequest(const http::request_message &request) const
{
    const auto kind = request.path() == "/v1/completions" ? api::completion_kind::text : api::completion_kind::chat;
    const auto fields = api::readCompletion(*request.body, kind);
    if (!fields) {
        return tl::unexpected(fields.error());
    }
    const auto prompt = api::promptText(*request.body, kind);
    engine_stream stream;
    stream.attempt = request.headers.find("Mustardtrail-Attempt");
    stream.priority = static_cast<int>(numberFrom(request.headers.find("Mustardtrail-Priority"), 0));
    stream.fencingNumber = static_cast<std::uint64_t>(numberFrom(request.headers.find("Mustardtrail-Fencing"), 0));
    stream.deliveredTokens = numberFrom(request.headers.find("Mustardtrail-Delivered"), 0);
    stream.prefix = request.headers.find("Mustardtrail-Prefix");
    stream.promptTokens = fields->promptTokens;
    stream.maxNewTokens = fields->maxNewTokens;
    stream.digest = extendDigest(emptyDigest, *prompt);
    stream.memoryIsReserved = !request.headers.find("Mustardtrail-Group").empty();
    if (stream.memoryIsReserved) {
        stream.digest = digestFrom(request.headers.find("Mustardtrail-Digest"), emptyDigest);
    }
    return stream;
}

asio::awaitable<void> engine_routes::complete(http::exchange &exchange)
{
    if (m_dropBeforeRun > 0) {
        --m_dropBeforeRun;
        co_return;
    }
    auto request = readRequest(exchange.request());
    if (!request) {
        http::response_message answer;
        answer.status = 400;
        answer.body = api::errorBody(request.error(), request.error().detail);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    if (request->attempt.empty()) {
        request->attempt = "direct-" + std::to_string(m_nextTicket++);
    }
    std::string reason;
    const auto stream = m_model.submit(std::move(*request), reason);
    if (!stream) {
        const int status = reason == "duplicate" ? 409 : reason == "too_long" ? 400 : 503;
        co_await exchange.respond(refusal(status, reason, 500));
        co_return;
    }
    if (m_dropAfterRun > 0) {
        --m_dropAfterRun;
        co_return;
    }
    const bool asked = json_access::boolOr(jsonBody(exchange.request()), "stream", false);
    if (asked || exchange.request().headers.find("Mustardtrail-Stream") == "1") {
        co_await streamFrom(exchange, stream, 0);
    } else {
        co_await answerWhole(exchange, stream);
    }
}

asio::awaitable<void> engine_routes::streamFrom(http::exchange &exchange, engine_model::stream_pointer stream, std::uint64_t from)
{
    if (!co_await exchange.startStream(200, eventHeaders())) {
        co_return;
    }
    auto nextComment = m_clock.now() + queuedComment;
    std::uint64_t sent = from;
    while (true) {
        if (sent < stream->chunks.size()) {
            if (m_dropMidStreamAfter >= 0 && static_cast<std::int64_t>(sent) >= m_dropMidStreamAfter) {
                m_dropMidStreamAfter = -1;
                co_return;
            }
            if (!co_await exchange.write(pieceEvent(*stream, sent))) {
                co_return;
            }
            ++sent;
            continue;
        }
        if (stream->state == stream_state::dropped) {
            co_return;
        }
        if (stream->state == stream_state::done) {
            break;
        }
        if (m_clock.now() >= nextComment) {
            nextComment = m_clock.now() + queuedComment;
            if (!co_await exchange.write(": queued\n\n")) {
                co_return;
            }
        }
        co_await waitForProgress();
    }
    const std::string tail = endEvent(*stream) + std::string(api::doneEvent());
    co_await exchange.write(tail);
    co_await exchange.finishStream();
}

asio::awaitable<void> engine_routes::answerWhole(http::exchange &exchange, engine_model::stream_pointer stream)
{
    while (!stream->isOver()) {
        co_await waitForProgress();
    }
    if (stream->state == stream_state::dropped) {
        co_return;
    }
    std::string text;
    for (const stream_chunk &chunk : stream->chunks) {
        text += chunk.text;
    }
    api::answer_head head;
    head.request = request_id(stream->attempt);
    http::response_message answer;
    answer.body = api::wholeAnswer(head, text, "length", stream->promptTokens, stream->produced);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> engine_routes::prefillSegment(http::exchange &exchange)
{
    const http::request_message &request = exchange.request();
    const std::string name = request.query("group");
    const std::string previous = request.query("previous");
    const kv_group *reserved = m_model.findGroup(name);
    const auto tokens = static_cast<token_count>((request.body->size() + api::bytesPerToken - 1) / api::bytesPerToken);
    if (reserved == nullptr || reserved->reservedTokens < tokens || (!previous.empty() && !reserved->imported)) {
        co_await exchange.respond(refusal(409, "not_reserved", 500));
        co_return;
    }
    engine_stream work;
    work.attempt = "kv-" + name + "-" + request.query("index");
    work.promptTokens = tokens;
    work.maxNewTokens = 0;
    work.memoryIsReserved = true;
    std::string reason;
    const auto stream = m_model.submit(work, reason);
    if (!stream) {
        co_await exchange.respond(refusal(503, reason, 500));
        co_return;
    }
    stream->prefillLeft = static_cast<double>(tokens);
    while (!stream->isOver()) {
        co_await waitForProgress();
    }
    kv_group *group = m_model.findGroup(name);
    if (stream->state == stream_state::dropped || group == nullptr) {
        co_return;
    }
    m_model.cancel(stream->attempt);
    group->digest = extendDigest(previous.empty() ? emptyDigest : digestFrom(previous, emptyDigest), *request.body);
    group->hasDigest = true;
    group->segmentTokens = tokens;
    json::object answer;
    answer["handle"] = name;
    answer["digest"] = std::to_string(group->digest);
    answer["tokens"] = tokens;
    co_await exchange.respond(jsonAnswer(200, answer));
}

http::response_message engine_routes::routeKv(const http::request_message &request)
{
    const json::object body = jsonBody(request);
    const std::string name = json_access::textOr(body, "group");
    const std::chrono::milliseconds lease(json_access::numberOr(body, "lease_ms", defaultLease.count()));
    const auto path = request.path();
    if (path == "/kv/release") {
        return jsonAnswer(200, { { "released", m_model.releaseGroup(name) } });
    }
    if (path == "/kv/reserve") {
        const bool fits = m_model.reserve(name, json_access::numberOr(body, "tokens", 0), m_clock.now() + lease);
        return fits ? empty(200) : refusal(409, "memory", 500);
    }
    kv_group *group = m_model.findGroup(name);
    if (group == nullptr) {
        return empty(404);
    }
    group->leaseEnd = std::max(group->leaseEnd, m_clock.now() + lease);
    if (path == "/kv/export" && group->hasDigest) {
        if (group->ticket.empty()) {
            group->ticket = "t-" + std::to_string(m_model.incarnation()) + "-" + std::to_string(m_nextTicket++);
        }
        return jsonAnswer(200, { { "ticket", group->ticket }, { "digest", std::to_string(group->digest) } });
    }
    if (path == "/kv/import") {
        group->imported = true;
        return empty(200);
    }
    return empty(409);
}

http::response_message engine_routes::takeOrder(const json::object &order)
{
    const auto fencing = static_cast<std::uint64_t>(json_access::numberOr(order, "fencing", 0));
    if (m_model.options.checksFencing && fencing < m_model.highestFencing) {
        ++m_ordersRefused;
        return jsonAnswer(409, { { "highest_fencing", m_model.highestFencing } });
    }
    m_model.highestFencing = std::max(m_model.highestFencing, fencing);
    ++m_ordersAccepted;
    const std::string what = json_access::textOr(order, "order");
    const std::string model = json_access::textOr(order, "model");
    if (what == "role") {
        m_role = json_access::textOr(order, "role");
    } else {
        std::erase_if(m_loaded, [&](const loaded_model &loaded) {
            return loaded.model == model;
        });
    }
    if (what == "load") {
        m_loaded.push_back({ model, json_access::textOr(order, "version") });
    }
    return empty(200);
}

http::response_message engine_routes::state() const
{
    json::array models;
    for (const loaded_model &loaded : m_loaded) {
        models.push_back(json::object{ { "model", loaded.model }, { "version", loaded.version } });
    }
    return jsonAnswer(200,
        { { "incarnation", m_model.incarnation() },
            { "models", std::move(models) },
            { "role", m_role },
            { "highest_fencing", m_model.highestFencing },
            { "memory_tokens", m_model.options.memoryTokens } });
}

http::response_message engine_routes::get(const http::request_message &request)
{
    const auto path = request.path();
    if (path == "/load") {
        return jsonAnswer(200, m_model.laggedReport(m_clock.now()));
    }
    if (path == "/events") {
        return jsonAnswer(200, m_model.eventsFrom(static_cast<std::uint64_t>(numberFrom(request.query("from"), 0)), m_clock.now()));
    }
    if (path == "/streams") {
        return jsonAnswer(200, m_model.streamsReport());
    }
    if (path == "/kv") {
        return jsonAnswer(200, m_model.groupsReport(m_clock.now()));
    }
    return path == "/state" ? state() : empty(404);
}

asio::awaitable<void> engine_routes::serve(http::exchange &exchange)
{
    while (isPaused()) {
        co_await waitForProgress();
    }
    const http::request_message &request = exchange.request();
    const std::string path(request.path());
    constexpr std::string_view streams = "/streams/";
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await complete(exchange);
    } else if (path.starts_with(streams)) {
        const auto stream = m_model.find(path.substr(streams.size()));
        if (stream) {
            co_await streamFrom(exchange, stream, static_cast<std::uint64_t>(numberFrom(request.query("from"), 0)));
        } else {
            co_await exchange.respond(empty(404));
        }
    } else if (path == "/kv/prefill") {
        co_await prefillSegment(exchange);
    } else if (path == "/cancel") {
        const bool known = m_model.cancel(json_access::textOr(jsonBody(request), "attempt"));
        co_await exchange.respond(empty(known ? 200 : 404));
    } else if (path == "/orders") {
        co_await exchange.respond(takeOrder(jsonBody(request)));
    } else if (request.method == "POST") {
        co_await exchange.respond(routeKv(request));
    } else {
        co_await exchange.respond(get(request));
    }
}

void engine_routes::applyControl(const json::object &change)
{
    if (json_access::boolOr(change, "cold", false)) {
        m_model.turnCold();
    }
    if (json_access::boolOr(change, "restart", false)) {
        m_model.restart();
    }
    if (json_access::boolOr(change, "drop_streams", false)) {
        m_model.dropStreams();
    }
    m_model.refusing = json_access::boolOr(change, "refuse", m_model.refusing);
    m_model.speed = json_access::realOr(change, "speed", m_model.speed);
    m_model.options.reportLag
        = std::chrono::milliseconds(json_access::numberOr(change, "report_lag_ms", m_model.options.reportLag.count()));
    m_model.skipEvents(static_cast<std::uint64_t>(json_access::numberOr(change, "event_gap", 0)));
    m_dropBeforeRun = static_cast<int>(json_access::numberOr(change, "drop_before_run", m_dropBeforeRun));
    m_dropAfterRun = static_cast<int>(json_access::numberOr(change, "drop_after_run", m_dropAfterRun));
    m_dropMidStreamAfter = json_access::numberOr(change, "drop_mid_stream_after", m_dropMidStreamAfter);
    if (const std::int64_t pause = json_access::numberOr(change, "pause_ms", 0); pause > 0) {
        m_pausedUntil = m_clock.now() + std::chrono::milliseconds(pause);
    }
}

asio::awaitable<void> engine_routes::serveControl(http::exchange &exchange)
{
    if (exchange.request().method == "POST") {
        applyControl(jsonBody(exchange.request()));
    }
    json::object counters = m_model.counters();
    counters["orders_accepted"] = m_ordersAccepted;
    counters["orders_refused"] = m_ordersRefused;
    co_await exchange.respond(jsonAnswer(200, counters));
}

} // namespace mustardtrail::standin
