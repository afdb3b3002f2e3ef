#include "group/action_log.h"

#include "base/log_line.h"

namespace mustardtrail::group
{

namespace
{

std::chrono::milliseconds untilThen(time_point when, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - now);
}

log_line lineOf(std::string_view event, const group_key &key, const backend_server_id &backend)
{
    log_line line(event);
    line.add("group", engineGroupOf(key).str()).add("backend_server", backend.str());
    return line;
}

log_line lineOf(std::string_view event, const engine_call &call, time_point now)
{
    log_line line = lineOf(event, call.key, call.backend);
    line.add("sequence", static_cast<std::int64_t>(call.sequence));
    line.add("fencing", static_cast<std::int64_t>(call.fencingNumber));
    line.add("deadline", untilThen(call.deadline, now)).add("not_after", untilThen(call.notAfter, now));
    return line;
}

std::string write(const reserve_at_owner &action, time_point now)
{
    log_line line = lineOf("reserve_at_owner", action.request.key, action.request.backend);
    line.add("owner", action.instance.str()).add("sequence", static_cast<std::int64_t>(action.request.sequence));
    line.add("tokens", action.request.tokens).add("lease", action.request.lease).add("deadline", untilThen(action.deadline, now));
    return line.str();
}

std::string write(const release_at_owner &action, time_point /*now*/)
{
    return lineOf("release_at_owner", action.request.key, action.request.backend).add("owner", action.instance.str()).str();
}

std::string write(const kv_reserve &action, time_point now)
{
    return lineOf("kv_reserve", action.call, now).add("tokens", action.tokens).add("lease", action.lease).str();
}

std::string write(const kv_prefill &action, time_point now)
{
    log_line line = lineOf("kv_prefill", action.call, now);
    line.add("index", std::int64_t{ action.index }).add("of", std::int64_t{ action.of });
    line.add("first_token", action.firstToken).add("tokens", action.tokens).add("previous_digest", action.previousDigest);
    return line.str();
}

std::string write(const kv_export &action, time_point now)
{
    return lineOf("kv_export", action.call, now).str();
}

std::string write(const kv_import &action, time_point now)
{
    return lineOf("kv_import", action.call, now).add("ticket", action.ticket).add("digest", action.digest).str();
}

std::string write(const kv_release &action, time_point /*now*/)
{
    return lineOf("kv_release", action.call.key, action.call.backend).str();
}

std::string write(const start_completion &action, time_point now)
{
    log_line line = lineOf("start_completion", action.call, now);
    return line.add("attempt", action.work.attempt.str()).add("owner", action.owner.str()).add("digest", action.digest).str();
}

std::string write(const cancel_completion &action, time_point /*now*/)
{
    log_line line("cancel_completion");
    return line.add("attempt", action.attempt.str()).add("owner", action.owner.str()).add("backend_server", action.backend.str()).str();
}

std::string write(const fail_group &action, time_point /*now*/)
{
    log_line line("fail_group");
    line.add("attempt", action.attempt.str()).add("code", toString(action.failure.code));
    line.add("verdict", toString(action.failure.outcome)).add("detail", action.failure.detail);
    if (action.failure.retryAfter) {
        line.add("retry_after", *action.failure.retryAfter);
    }
    return line.str();
}

std::string write(const cancel_orphan_stream &action, time_point now)
{
    log_line line("cancel_orphan_stream");
    line.add("backend_server", action.backend.str()).add("attempt", action.attempt.str());
    return line.add("not_after", untilThen(action.notAfter, now)).str();
}

std::string write(const release_orphan_group &action, time_point now)
{
    log_line line("release_orphan_group");
    line.add("backend_server", action.backend.str()).add("group", action.group.str());
    return line.add("not_after", untilThen(action.notAfter, now)).str();
}

std::string write(const stream_lost &action, time_point /*now*/)
{
    return log_line("stream_lost").add("backend_server", action.backend.str()).add("attempt", action.attempt.str()).str();
}

} // namespace

std::string logLineOf(const group_action &action, time_point now)
{
    return std::visit(
        [now](const auto &value) {
            return write(value, now);
        },
        action);
}

std::string logLineOf(const reconcile_action &action, time_point now)
{
    return std::visit(
        [now](const auto &value) {
            return write(value, now);
        },
        action);
}

} // namespace mustardtrail::group
