#include "programs/entry/caller_error.h"

#include "api/answer_writer.h"
#include "config/message_catalogue.h"

#include <algorithm>

namespace mustardtrail::entry
{

std::string messageOf(const error &failure)
{
    std::string text(config::messageTitle(failure.code, config::language::english));
    if (!failure.detail.empty()) {
        text += " (" + failure.detail + ")";
    }
    return text;
}

http::response_message errorAnswer(const request_id &request, const error &failure)
{
    http::response_message message;
    message.status = api::httpStatusOf(failure.code);
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Verdict", std::string(toString(failure.outcome)));
    if (!request.empty()) {
        message.headers.add("Mustardtrail-Request", request.str());
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

http::response_message badRequestAnswer(int status, int code, std::string_view detail)
{
    const error failure{ static_cast<error_code>(code), verdict::not_run, std::string(detail), {} };
    http::response_message answer = errorAnswer(request_id(), failure);
    answer.status = status;
    return answer;
}

} // namespace mustardtrail::entry
