#include "gateway/internal/waiting_prompt_wire.h"

#include <algorithm>
#include <limits>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

template<typename number> number clampedTo(std::int64_t value)
{
    return static_cast<number>(std::clamp<std::int64_t>(value, std::numeric_limits<number>::min(), std::numeric_limits<number>::max()));
}

std::int64_t msBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace

void write(const waiting_prompt &prompt, time_point now, wire::WaitingPrompt &target)
{
    target.set_request(prompt.request);
    target.set_service(prompt.service);
    target.set_prompt_tokens(clampedTo<std::uint32_t>(prompt.promptTokens));
    target.set_memory_tokens(clampedTo<std::uint32_t>(prompt.memoryTokens));
    target.set_urgency(prompt.urgency);
    target.set_age_ms(clampedTo<std::uint32_t>(msBetween(prompt.arrivedAt, now)));
    target.set_due_in_ms(clampedTo<std::int32_t>(msBetween(now, prompt.firstEventDueAt)));
    target.set_patience_ms(clampedTo<std::uint32_t>(msBetween(now, prompt.callerLeavesAt)));
    target.set_prefill_ms(clampedTo<std::uint32_t>(prompt.shortestPrefill.count()));
}

waiting_prompt read(const wire::WaitingPrompt &source, time_point now)
{
    waiting_prompt prompt;
    prompt.request = source.request();
    prompt.service = source.service();
    prompt.promptTokens = source.prompt_tokens();
    prompt.memoryTokens = source.memory_tokens();
    prompt.urgency = source.urgency();
    prompt.arrivedAt = now - milliseconds(source.age_ms());
    prompt.firstEventDueAt = now + milliseconds(source.due_in_ms());
    prompt.callerLeavesAt = now + milliseconds(source.patience_ms());
    prompt.shortestPrefill = milliseconds(source.prefill_ms());
    return prompt;
}

} // namespace mustardtrail::gateway
