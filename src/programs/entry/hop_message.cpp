#include "programs/entry/hop_message.h"

#include "api/engine_event.h"
#include "base/json_access.h"
#include "host/summary_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace mustardtrail::entry
{

namespace
{

constexpr const char *attemptHeader = "Mustardtrail-Hop";
constexpr const char *targetHeader = "Mustardtrail-Target";
constexpr const char *methodHeader = "Mustardtrail-Method";
constexpr const char *kindHeader = "Mustardtrail-Kind";
constexpr const char *bodyStartHeader = "Mustardtrail-Body-Start";
constexpr const char *deliveredMember = "mt_forced_prefix";
constexpr const char *chatKind = "chat";
constexpr std::string_view loadStart = R"({"load":)";

/// Offset in the body; nothing for what is no number or lies behind the end. Absent: 0.
std::optional<size_t> bodyStartFrom(std::string_view text, size_t bodySize)
{
    size_t start = 0;
    if (text.empty()) {
        return start;
    }
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), start);
    const bool isWhole = failure == std::errc{} && end == text.data() + text.size();
    return isWhole && start <= bodySize ? std::optional(start) : std::nullopt;
}

void addIfGiven(http::header_list &headers, const char *name, const std::string &value)
{
    if (!value.empty()) {
        headers.add(name, value);
    }
}

std::string groupBody(const std::string &delivered)
{
    return boost::json::serialize(boost::json::object{ { deliveredMember, delivered } });
}

std::string loadText(const placement::owner_summary &load, time_point arrival)
{
    boost::json::array pools;
    for (std::string &text : host::encodeSummary(load)) {
        pools.emplace_back(std::move(text));
    }
    const auto after = std::chrono::ceil<std::chrono::milliseconds>(load.takenAt - arrival);
    const boost::json::object message{ { "owner", load.owner.str() }, { "after_ms", after.count() }, { "pools", std::move(pools) } };
    return "data: " + std::string(loadStart) + boost::json::serialize(message) + "}\n\n";
}

} // namespace

void spliceDelivered(http::request_message &message, const std::string &delivered, size_t objectStart)
{
    message.bodySkip = objectStart;
    message.bodyPrefix = "{\"" + std::string(deliveredMember) + "\":" + boost::json::serialize(boost::json::string(delivered)) + ",";
}

http::request_message hopRequest(const node::forward_attempt &action, const payload &content, time_point now)
{
    http::request_message message;
    message.method = "POST";
    message.target = std::string(hopPath);
    message.body = content.body;
    message.headers.add(attemptHeader, boost::json::serialize(node::toJson(action.attempt, now)));
    message.headers.add(methodHeader, content.method);
    message.headers.add(targetHeader, content.target);
    message.headers.add(kindHeader, content.kind == api::completion_kind::chat ? chatKind : "text");
    addIfGiven(message.headers, "Content-Type", content.contentType);
    addIfGiven(message.headers, "Idempotency-Key", content.idempotencyKey);
    if (action.attempt.group) {
        // The engines hold the prompt; only what the caller has already goes along.
        message.body = std::make_shared<const std::string>(groupBody(action.attempt.deliveredText));
        message.headers.add(bodyStartHeader, "0");
    } else if (!action.attempt.deliveredText.empty() && content.bodyObjectStart > 0) {
        spliceDelivered(message, action.attempt.deliveredText, content.bodyObjectStart);
    } else {
        message.headers.add(bodyStartHeader, std::to_string(content.bodyObjectStart));
    }
    return message;
}

result<hop_contents> hopContents(const http::request_message &message, time_point now)
{
    auto attempt = node::hopAttemptFromJson(json_access::objectFromText(message.headers.find(attemptHeader)), now);
    if (!attempt) {
        return tl::unexpected(attempt.error());
    }
    if (attempt->group && message.body != nullptr) {
        attempt->deliveredText = json_access::textOr(json_access::objectFromText(*message.body), deliveredMember);
    }
    const auto content = std::make_shared<payload>();
    content->method = message.headers.find(methodHeader);
    content->target = message.headers.find(targetHeader);
    content->contentType = message.headers.find("Content-Type");
    content->idempotencyKey = message.headers.find("Idempotency-Key");
    content->kind = message.headers.find(kindHeader) == chatKind ? api::completion_kind::chat : api::completion_kind::text;
    content->body = message.body;
    if (content->method.empty() || !content->target.starts_with('/')) {
        return invalidPeerField("target");
    }
    const auto start = bodyStartFrom(message.headers.find(bodyStartHeader), content->body ? content->body->size() : 0);
    if (!start) {
        return invalidPeerField("body_start");
    }
    content->bodyObjectStart = *start;
    return hop_contents{ *attempt, content };
}

std::string hopReplyText(const node::reply_on_hop &reply, time_point arrival)
{
    const auto &event = reply.event;
    api::engine_event written;
    if (const auto *accepted = std::get_if<request::attempt_accepted>(&event)) {
        written.type = api::engine_event::kind::accepted;
        written.text = accepted->backend.str();
    } else if (const auto *output = std::get_if<request::attempt_output>(&event)) {
        written.sequence = output->sequence;
        written.text = output->text;
        written.tokens = output->tokens;
    } else if (const auto *finished = std::get_if<request::attempt_finished>(&event)) {
        written.type = api::engine_event::kind::finished;
        written.sequence = finished->chunks;
        written.finishReason = finished->finishReason.empty() ? "stop" : finished->finishReason;
    } else if (const auto *failed = std::get_if<request::attempt_failed>(&event)) {
        written.type = api::engine_event::kind::failed;
        written.failure = failed->failure;
        written.text = failed->backend.str();
    }
    const std::string load = reply.load ? loadText(*reply.load, arrival) : std::string();
    return load + api::writeEngineEvent(written, reply.attempt.str());
}

std::optional<placement::owner_summary> readHopLoad(
    std::string_view data, const host::pool_directory &pools, time_point arrival, time_point now)
{
    if (!data.starts_with(loadStart)) {
        return std::nullopt;
    }
    const boost::json::object message = json_access::objectFromText(std::string(data));
    const boost::json::object *load = json_access::objectAt(message, "load");
    const boost::json::array *items = load != nullptr ? json_access::arrayAt(*load, "pools") : nullptr;
    std::vector<std::string> texts;
    for (const boost::json::value &item : items != nullptr ? *items : boost::json::array()) {
        texts.emplace_back(item.is_string() ? std::string(item.get_string()) : std::string());
    }
    const std::chrono::milliseconds after(load != nullptr ? json_access::numberOr(*load, "after_ms", 0) : 0);
    const instance_id owner(load != nullptr ? json_access::textOr(*load, "owner") : std::string());
    return host::decodeSummary(owner, texts, pools, std::min(now, arrival + after));
}

} // namespace mustardtrail::entry
