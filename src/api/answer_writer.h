#pragma once

#include "api/completion_fields.h"
#include "base/error.h"
#include "base/ids.h"

#include <chrono>
#include <string>
#include <string_view>

namespace mustardtrail::api
{

/// What all messages of one answer have in common.
struct answer_head {
    completion_kind kind = completion_kind::text;
    request_id request;
    std::string model;
    std::chrono::seconds createdAt{ 0 }; ///< Unix time.
};

/// Whole answer as one JSON body.
std::string wholeAnswer(
    const answer_head &head, std::string_view text, std::string_view finishReason, token_count promptTokens, token_count newTokens);

/// One server-sent event with a piece of the answer; an empty finish reason means that more follows.
std::string answerEvent(const answer_head &head, std::string_view text, std::string_view finishReason);

/// Event with the token counts, sent before the end when the caller asked for it.
std::string usageEvent(const answer_head &head, token_count promptTokens, token_count newTokens);

/// Event that ends a stream.
std::string_view doneEvent();

/// Error body: {"error":{"message","type","code","verdict","retry_after_ms"}}.
std::string errorBody(const error &failure, std::string_view message);

/// HTTP status that callers' libraries expect for the code.
int httpStatusOf(error_code code);

} // namespace mustardtrail::api
