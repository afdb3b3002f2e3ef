#pragma once

#include "gateway/waiting_prompt.h"

#include "load_report.pb.h"

namespace mustardtrail::gateway
{

void write(const waiting_prompt &prompt, time_point now, wire::WaitingPrompt &target);
/// Times count from `now`, so they are late by the network's delay.
waiting_prompt read(const wire::WaitingPrompt &source, time_point now);

} // namespace mustardtrail::gateway
