#include "request/tests/trace.h"

#include "request/key_codec.h"
#include "request/tests/fixture.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::request::testing
{

namespace
{

std::string msOf(time_point when)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(when - at(0)).count());
}

std::string describe(const error &failure)
{
    const std::string retry = failure.retryAfter ? std::to_string(failure.retryAfter->count()) : "-";
    return toString(failure.code) + " " + std::string(toString(failure.outcome)) + " retry_after=" + retry + " detail=[" + failure.detail
        + "]";
}

struct to_line {
    std::string operator()(const start_attempt &action) const
    {
        std::string excluded;
        for (const backend_server_id &id : action.excluded) {
            excluded += excluded.empty() ? "" : ",";
            excluded += id.str();
        }
        return "start_attempt " + action.work.attempt.str() + " at=" + action.target.str()
            + " first_token=" + msOf(action.work.firstTokenDeadline) + " deadline=" + msOf(action.work.deadline) + " excluded=[" + excluded
            + "] delivered=[" + action.deliveredText + "] tokens=" + std::to_string(action.deliveredTokens);
    }
    std::string operator()(const cancel_attempt &action) const
    {
        return "cancel_attempt " + action.attempt.str();
    }
    std::string operator()(const relay_output &action) const
    {
        return "relay_output " + action.request.str() + " [" + action.text + "] tokens=" + std::to_string(action.tokens);
    }
    std::string operator()(const complete_request &action) const
    {
        return "complete_request " + action.request.str() + " " + action.finishReason;
    }
    std::string operator()(const fail_request &action) const
    {
        return "fail_request " + action.request.str() + " " + describe(action.failure);
    }
    std::string operator()(const send_key_claim &action) const
    {
        return "send_key_claim " + action.home.str() + " " + boost::json::serialize(toJson(action.claim));
    }
    std::string operator()(const send_key_outcome &action) const
    {
        return "send_key_outcome " + action.home.str() + " " + boost::json::serialize(toJson(action.outcome));
    }
    std::string operator()(const open_stream &action) const
    {
        return "open_stream " + action.backend.str() + " connection=" + std::to_string(action.connection);
    }
    std::string operator()(const resume_stream &action) const
    {
        return "resume_stream " + action.backend.str() + " connection=" + std::to_string(action.connection)
            + " from=" + std::to_string(action.from);
    }
    std::string operator()(const cancel_stream &action) const
    {
        return "cancel_stream " + action.backend.str() + (action.atEngine ? " at_engine" : " close");
    }
    std::string operator()(const attempt_accepted &action) const
    {
        return "attempt_accepted " + action.attempt.str() + " " + action.backend.str();
    }
    std::string operator()(const attempt_output &action) const
    {
        return "attempt_output " + action.attempt.str() + " " + std::to_string(action.sequence) + " [" + action.text + "]";
    }
    std::string operator()(const attempt_finished &action) const
    {
        return "attempt_finished " + action.attempt.str() + " chunks=" + std::to_string(action.chunks) + " " + action.finishReason;
    }
    std::string operator()(const attempt_failed &action) const
    {
        return "attempt_failed " + action.attempt.str() + " " + describe(action.failure) + " backend=" + action.backend.str();
    }
};

} // namespace

std::string toLine(const request_action &action)
{
    return std::visit(to_line{}, action);
}

std::string toLine(const backend_action &action)
{
    return std::visit(to_line{}, action);
}

} // namespace mustardtrail::request::testing
