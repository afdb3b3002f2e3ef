#include "gateway/waiting_order.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds startMargin{ 100 }; // Network, and the batch step that runs when the prompt arrives.

// Decides between prompts of one urgency: the newest first. With the oldest first, all prompts of an overload wait until they are
// just late; with the newest first, those that fit are on time, and the others are refused or served late.
std::chrono::nanoseconds orderWithinUrgency(const waiting_prompt &prompt)
{
    return -prompt.arrivedAt.time_since_epoch();
}

} // namespace

waiting_order waitingOrder(const waiting_prompt &prompt, time_point now)
{
    const bool isLate = prompt.firstEventDueAt <= now + prompt.shortestPrefill + startMargin;
    return { isLate, prompt.urgency, orderWithinUrgency(prompt), prompt.request };
}

} // namespace mustardtrail::gateway
