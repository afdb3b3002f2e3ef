#include "programs/entry/engine_calls.h"

#include "api/completion_fields.h"
#include "base/json_access.h"
#include "http/status.h"
#include "programs/entry/engine_report_reader.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::entry
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds readTimeout{ 1'000 };
constexpr milliseconds cancelTimeout{ 1'000 };

http::request_message getRequest(std::string target)
{
    http::request_message message;
    message.target = std::move(target);
    return message;
}

http::request_message postRequest(std::string target, const json::object &body)
{
    http::request_message message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers.add("Content-Type", "application/json");
    message.body = std::make_shared<const std::string>(json::serialize(body));
    return message;
}

/// Limits of a call that may be sent only below `notAfter`; zero: always.
http::call_limits limitsUntil(milliseconds timeout, time_point notAfter, const monotonic_clock &clock)
{
    http::call_limits limits = http::call_limits::within(timeout);
    limits.beforeSend = [notAfter, &clock]() -> std::optional<error> {
        if (notAfter != time_point{} && clock.now() >= notAfter) {
            return error{ error_code::view_not_confirmed, verdict::not_run, "", {} };
        }
        return std::nullopt;
    };
    return limits;
}

json::object groupBody(const group::engine_call &call)
{
    return { { "group", group::engineGroupOf(call.key).str() }, { "fencing", call.fencingNumber } };
}

struct prepared_call {
    group::kv_step step = group::kv_step::reserve;
    group::engine_call call;
    http::request_message message;
};

prepared_call prepare(const group::kv_reserve &action, const std::string &)
{
    json::object body = groupBody(action.call);
    body["tokens"] = action.tokens;
    body["lease_ms"] = action.lease.count();
    return { group::kv_step::reserve, action.call, postRequest("/kv/reserve", body) };
}

prepared_call prepare(const group::kv_prefill &action, const std::string &prompt)
{
    http::request_message message = postRequest("", json::object());
    message.target = "/kv/prefill?group=" + group::engineGroupOf(action.call.key).str() + "&index=" + std::to_string(action.index)
        + "&of=" + std::to_string(action.of) + "&lease_ms=" + std::to_string(action.lease.count());
    if (!action.previousDigest.empty()) {
        message.target += "&previous=" + action.previousDigest;
    }
    const auto first = static_cast<size_t>(action.firstToken) * api::bytesPerToken;
    const auto length = static_cast<size_t>(action.tokens) * api::bytesPerToken;
    message.body = std::make_shared<const std::string>(first < prompt.size() ? prompt.substr(first, length) : std::string());
    return { group::kv_step::prefill, action.call, std::move(message) };
}

prepared_call prepare(const group::kv_export &action, const std::string &)
{
    return { group::kv_step::publish, action.call, postRequest("/kv/export", groupBody(action.call)) };
}

prepared_call prepare(const group::kv_import &action, const std::string &)
{
    json::object body = groupBody(action.call);
    body["ticket"] = action.ticket;
    body["digest"] = action.digest;
    body["lease_ms"] = action.lease.count();
    return { group::kv_step::attach, action.call, postRequest("/kv/import", body) };
}

prepared_call prepare(const group::kv_release &action, const std::string &)
{
    return { group::kv_step::release, action.call, postRequest("/kv/release", groupBody(action.call)) };
}

error refusedBy(const http::response_message &answer, const backend_server_id &backend)
{
    const json::object message = json_access::objectFromText(answer.body);
    error failure{
        error_code::backend_refused, verdict::not_run, "backend=" + backend.str() + " status=" + std::to_string(answer.status), {}
    };
    if (const std::int64_t wait = json_access::numberOr(message, "retry_after_ms", -1); wait >= 0) {
        failure.retryAfter = milliseconds(wait);
    }
    return failure;
}

} // namespace

boost::asio::awaitable<node::engine_read> readEngine(http::client &client, node::read_engine action, const monotonic_clock &clock)
{
    node::engine_read read{ action.backend, tl::unexpected(error{}), {}, false };
    const auto load = co_await client.call(action.to, getRequest("/load"), http::call_limits::within(readTimeout));
    if (!load) {
        read.holdings = tl::unexpected(load.error());
        co_return read;
    }
    const auto report = engineReportFrom(action.backend, load->body, clock.now());
    if (!report) {
        read.holdings = tl::unexpected(report.error());
        co_return read;
    }
    group::engine_holdings holdings;
    holdings.report = *report;
    if (action.withEvents) {
        const std::string target = "/events?from=" + std::to_string(action.eventsFrom);
        const auto events = co_await client.call(action.to, getRequest(target), http::call_limits::within(readTimeout));
        if (events) {
            read.cacheEvents = cacheEventsFrom(events->body);
        }
    }
    if (action.withGroups) {
        const auto groups = co_await client.call(action.to, getRequest("/kv"), http::call_limits::within(readTimeout));
        read.listsGroups = groups.has_value();
        if (groups) {
            holdings.groups = groupsFrom(groups->body);
        }
    }
    read.holdings = std::move(holdings);
    co_return read;
}

boost::asio::awaitable<group::engine_replied> callEngine(
    http::client &client, node::call_engine action, std::shared_ptr<const std::string> prompt, const monotonic_clock &clock)
{
    const std::string none;
    prepared_call prepared = std::visit(
        [&](const auto &call) {
            return prepare(call, prompt ? *prompt : none);
        },
        action.call);
    const auto left = std::chrono::duration_cast<milliseconds>(prepared.call.deadline - clock.now());
    // A release is sent whatever the view: it only frees what this instance asked for.
    const time_point notAfter = prepared.step == group::kv_step::release ? time_point{} : prepared.call.notAfter;
    group::engine_replied replied;
    replied.step = prepared.step;
    replied.key = prepared.call.key;
    replied.backend = prepared.call.backend;
    replied.sequence = prepared.call.sequence;
    const auto limits = limitsUntil(std::max(left, milliseconds(1)), notAfter, clock);
    const auto answer = co_await client.call(action.to, std::move(prepared.message), limits);
    if (!answer) {
        replied.failure = answer.error();
    } else if (answer->status != http::statusOk) {
        replied.failure = refusedBy(*answer, replied.backend);
    } else {
        const json::object message = json_access::objectFromText(answer->body);
        replied.digest = json_access::textOr(message, "digest");
        replied.ticket = json_access::textOr(message, "ticket");
    }
    co_return replied;
}

boost::asio::awaitable<bool> cancelAtEngine(http::client &client, node::cancel_backend action, const monotonic_clock &clock)
{
    json::object body;
    body["attempt"] = action.attempt.str();
    auto message = postRequest("/cancel", body);
    const auto limits = limitsUntil(cancelTimeout, action.notAfter, clock);
    const auto answer = co_await client.call(action.to, std::move(message), limits);
    co_return answer && (answer->status == http::statusOk || answer->status == http::statusNotFound);
}

boost::asio::awaitable<void> releaseAtEngine(http::client &client, node::release_group action, const monotonic_clock &clock)
{
    json::object body;
    body["group"] = action.group.str();
    auto message = postRequest("/kv/release", body);
    const auto limits = limitsUntil(cancelTimeout, action.notAfter, clock);
    co_await client.call(action.to, std::move(message), limits);
}

} // namespace mustardtrail::entry
