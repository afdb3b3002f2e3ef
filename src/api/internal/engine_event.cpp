#include "api/engine_event.h"

#include "base/json_access.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::api
{

namespace json = boost::json;

namespace
{

json::string_view view(std::string_view text)
{
    return { text.data(), text.size() };
}

tl::unexpected<error> invalid(std::string_view what)
{
    return tl::unexpected(error{ error_code::backend_answer_invalid, verdict::ran, "field=" + std::string(what), {} });
}

result<engine_event> readFailure(const json::object &failure)
{
    engine_event event;
    event.type = engine_event::kind::failed;
    event.failure.code = errorCodeFromString(json_access::textOr(failure, "code")).value_or(error_code::backend_answer_invalid);
    event.failure.outcome = verdictFromString(json_access::textOr(failure, "verdict")).value_or(verdict::may_have_run);
    event.failure.detail = json_access::textOr(failure, "message");
    if (const std::int64_t wait = json_access::numberOr(failure, "retry_after_ms", -1); wait >= 0) {
        event.failure.retryAfter = std::chrono::milliseconds(wait);
    }
    return event;
}

} // namespace

result<engine_event> readEngineEvent(std::string_view data)
{
    engine_event event;
    if (data == "[DONE]") {
        event.type = engine_event::kind::done_mark;
        return event;
    }
    boost::json::error_code parseFailure;
    const json::value document = json::parse(view(data), parseFailure);
    if (parseFailure || !document.is_object()) {
        return invalid("json");
    }
    const json::object &object = document.get_object();
    if (const json::object *failure = json_access::objectAt(object, "error")) {
        result<engine_event> read = readFailure(*failure);
        read->text = json_access::textOr(object, "backend");
        return read;
    }
    if (const std::string backend = json_access::textOr(object, "accepted"); !backend.empty()) {
        event.type = engine_event::kind::accepted;
        event.text = backend;
        return event;
    }
    const std::int64_t sequence = json_access::numberOr(object, "seq", -1);
    if (sequence < 0) {
        return invalid("seq");
    }
    const std::int64_t tokens = json_access::numberOr(object, "tokens", 0);
    if (tokens < 0) {
        return invalid("tokens");
    }
    const json::array *choices = json_access::arrayAt(object, "choices");
    if (choices == nullptr || choices->size() != 1 || !choices->front().is_object()) {
        return invalid("choices");
    }
    const json::object &choice = choices->front().get_object();
    event.sequence = static_cast<std::uint64_t>(sequence);
    event.text = json_access::textOr(choice, "text");
    event.tokens = tokens;
    event.finishReason = json_access::textOr(choice, "finish_reason");
    event.type = event.finishReason.empty() ? engine_event::kind::piece : engine_event::kind::finished;
    return event;
}

std::string writeEngineEvent(const engine_event &event, std::string_view attempt)
{
    if (event.type == engine_event::kind::done_mark) {
        return "data: [DONE]\n\n";
    }
    json::object message{ { "id", view(attempt) }, { "object", "text_completion" } };
    if (event.type == engine_event::kind::accepted) {
        message["accepted"] = event.text;
    } else if (event.type == engine_event::kind::failed) {
        json::object failure{ { "code", toString(event.failure.code) },
            { "verdict", view(toString(event.failure.outcome)) },
            { "message", event.failure.detail } };
        if (event.failure.retryAfter) {
            failure["retry_after_ms"] = event.failure.retryAfter->count();
        }
        message["error"] = std::move(failure);
        message["backend"] = event.text;
    } else {
        const json::value reason = event.finishReason.empty() ? json::value(nullptr) : json::value(event.finishReason);
        message["seq"] = event.sequence;
        message["tokens"] = event.tokens;
        message["choices"] = json::array{ json::object{ { "index", 0 }, { "text", event.text }, { "finish_reason", reason } } };
    }
    return "data: " + json::serialize(message) + "\n\n";
}

} // namespace mustardtrail::api
