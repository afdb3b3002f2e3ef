#pragma once

#include "api/answer_writer.h"
#include "programs/entry/sessions.h"
#include "request/request_events.h"

#include <memory>
#include <string>

namespace mustardtrail::entry
{

/// One answer while it is written.
struct running_answer {
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

} // namespace mustardtrail::entry
