#include "node/tests/action_text.h"

#include "group/action_log.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::node::testing
{

namespace
{

std::string failureText(const error &failure)
{
    std::string text = " code=" + std::to_string(static_cast<int>(failure.code));
    text += " verdict=" + std::string(toString(failure.outcome));
    return failure.detail.empty() ? text : text + " " + failure.detail;
}

std::string leftText(const char *name, time_point until, time_point now)
{
    if (until == time_point{}) {
        return "";
    }
    return std::string(" ") + name + "=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count());
}

std::string text(const request::attempt_accepted &event)
{
    return "accepted backend=" + event.backend.str();
}

std::string text(const request::attempt_output &event)
{
    return "output sequence=" + std::to_string(event.sequence) + " text='" + event.text + "'";
}

std::string text(const request::attempt_finished &event)
{
    return "finished chunks=" + std::to_string(event.chunks) + " reason=" + event.finishReason;
}

std::string text(const request::attempt_failed &event)
{
    return "failed" + failureText(event.failure) + " backend=" + event.backend.str();
}

std::string text(const request::relay_output &action, time_point)
{
    return "relay_output request=" + action.request.str() + " text='" + action.text + "'";
}

std::string text(const request::complete_request &action, time_point)
{
    return "complete_request request=" + action.request.str() + " reason=" + action.finishReason;
}

std::string text(const request::fail_request &action, time_point)
{
    return "fail_request request=" + action.request.str() + failureText(action.failure);
}

std::string text(const forward_attempt &action, time_point now)
{
    return "forward_attempt attempt=" + action.attempt.work.attempt.str() + " to=" + toString(action.to)
        + leftText("left_ms", action.attempt.work.deadline, now);
}

std::string text(const close_hop &action, time_point)
{
    return "close_hop attempt=" + action.attempt.str();
}

std::string text(const open_backend &action, time_point now)
{
    return "open_backend attempt=" + action.attempt.str() + " backend=" + action.backend.str()
        + " connection=" + std::to_string(action.connection) + " fencing=" + std::to_string(action.fencingNumber)
        + " delivered=" + std::to_string(action.deliveredTokens) + leftText("not_after_ms", action.notAfter, now)
        + leftText("left_ms", action.deadline, now);
}

std::string text(const resume_backend &action, time_point)
{
    return "resume_backend attempt=" + action.attempt.str() + " backend=" + action.backend.str()
        + " connection=" + std::to_string(action.connection) + " from=" + std::to_string(action.from);
}

std::string text(const cancel_backend &action, time_point now)
{
    return "cancel_backend attempt=" + action.attempt.str() + " backend=" + action.backend.str()
        + " engine=" + std::to_string(static_cast<int>(action.isEngine)) + leftText("not_after_ms", action.notAfter, now);
}

std::string text(const reply_on_hop &action, time_point)
{
    return "reply_on_hop attempt=" + action.attempt.str() + " "
        + std::visit(
            [](const auto &event) {
                return text(event);
            },
            action.event);
}

std::string text(const call_peer &action, time_point)
{
    return "call_peer call=" + std::to_string(action.call) + " to=" + toString(action.to) + " method=" + action.method + " "
        + boost::json::serialize(action.parameters);
}

std::string text(const peer_answer &action, time_point)
{
    const std::string start = "peer_answer call=" + std::to_string(action.call);
    return action.answer ? start + " " + boost::json::serialize(*action.answer) : start + failureText(action.answer.error());
}

std::string text(const read_engine &action, time_point)
{
    return "read_engine backend=" + action.backend.str() + " groups=" + std::to_string(static_cast<int>(action.withGroups));
}

std::string text(const call_engine &action, time_point now)
{
    return std::visit(
               [now](const auto &call) {
                   return logLineOf(group::group_action(call), now);
               },
               action.call)
        + " request=" + action.request.str();
}

std::string text(const release_group &action, time_point)
{
    return "release_group group=" + action.group.str() + " backend=" + action.backend.str();
}

std::string text(const publish_summary &action, time_point)
{
    return "publish_summary pools=" + std::to_string(action.summary.pools.size());
}

} // namespace

std::string toText(const entry_action &action, time_point now)
{
    return std::visit(
        [now](const auto &item) {
            return text(item, now);
        },
        action);
}

} // namespace mustardtrail::node::testing
