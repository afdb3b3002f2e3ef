#include "api/answer_writer.h"

#include <boost/json/object.hpp>
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

json::value finishValue(std::string_view finishReason)
{
    return finishReason.empty() ? json::value(nullptr) : json::value(view(finishReason));
}

json::object headObject(const answer_head &head, std::string_view object)
{
    json::object message;
    message["id"] = head.request.str();
    message["object"] = view(object);
    message["created"] = head.createdAt.count();
    message["model"] = head.model;
    return message;
}

json::object usageObject(token_count promptTokens, token_count newTokens)
{
    return { { "prompt_tokens", promptTokens }, { "completion_tokens", newTokens }, { "total_tokens", promptTokens + newTokens } };
}

std::string event(const json::object &message)
{
    return "data: " + json::serialize(message) + "\n\n";
}

std::string_view chunkObject(completion_kind kind)
{
    return kind == completion_kind::text ? "text_completion" : "chat.completion.chunk";
}

} // namespace

std::string wholeAnswer(
    const answer_head &head, std::string_view text, std::string_view finishReason, token_count promptTokens, token_count newTokens)
{
    const bool isText = head.kind == completion_kind::text;
    json::object message = headObject(head, isText ? "text_completion" : "chat.completion");
    json::object choice{ { "index", 0 }, { "finish_reason", finishValue(finishReason) }, { "logprobs", nullptr } };
    if (isText) {
        choice["text"] = view(text);
    } else {
        choice["message"] = json::object{ { "role", "assistant" }, { "content", view(text) } };
    }
    message["choices"] = json::array{ std::move(choice) };
    message["usage"] = usageObject(promptTokens, newTokens);
    return json::serialize(message);
}

std::string answerEvent(const answer_head &head, std::string_view text, std::string_view finishReason)
{
    json::object message = headObject(head, chunkObject(head.kind));
    json::object choice{ { "index", 0 }, { "finish_reason", finishValue(finishReason) }, { "logprobs", nullptr } };
    if (head.kind == completion_kind::text) {
        choice["text"] = view(text);
    } else {
        choice["delta"] = text.empty() ? json::object{} : json::object{ { "role", "assistant" }, { "content", view(text) } };
    }
    message["choices"] = json::array{ std::move(choice) };
    return event(message);
}

std::string usageEvent(const answer_head &head, token_count promptTokens, token_count newTokens)
{
    json::object message = headObject(head, chunkObject(head.kind));
    message["choices"] = json::array{};
    message["usage"] = usageObject(promptTokens, newTokens);
    return event(message);
}

std::string_view doneEvent()
{
    return "data: [DONE]\n\n";
}

std::string errorBody(const error &failure, std::string_view message)
{
    json::object body{ { "message", view(message) }, { "code", toString(failure.code) }, { "verdict", view(toString(failure.outcome)) } };
    body["type"] = httpStatusOf(failure.code) < 500 ? "invalid_request_error" : "server_error";
    body["param"] = nullptr;
    if (failure.retryAfter) {
        body["retry_after_ms"] = failure.retryAfter->count();
    }
    return json::serialize(json::object{ { "error", std::move(body) } });
}

int httpStatusOf(error_code code)
{
    switch (code) {
    case error_code::request_malformed:
    case error_code::request_truncated:
    case error_code::request_unknown_class:
    case error_code::request_unknown_customer:
    case error_code::request_header_missing:
    case error_code::prompt_exceeds_fleet:
        return 400;
    case error_code::request_unknown_model:
    case error_code::request_unknown_path:
        return 404;
    case error_code::request_wrong_method:
        return 405;
    case error_code::request_timeout:
        return 408;
    case error_code::duplicate_attempt:
        return 409;
    case error_code::request_too_large:
        return 413;
    case error_code::queue_full:
    case error_code::target_unreachable:
    case error_code::group_memory_busy:
        return 429;
    case error_code::deadline_exceeded:
    case error_code::backend_timeout:
        return 504;
    case error_code::backend_connection_lost:
    case error_code::backend_connect_failed:
    case error_code::backend_answer_invalid:
    case error_code::backend_refused:
        return 502;
    default:
        return 503;
    }
}

} // namespace mustardtrail::api
