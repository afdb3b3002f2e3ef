#pragma once

#include "gateway/load_tracker.h"
#include "gateway/service_profile.h"

#include <chrono>

namespace mustardtrail::gateway
{

/// Time that one idle engine needs to read a prompt of so many tokens.
std::chrono::microseconds prefillTime(const engine_profile &engine, std::int64_t promptTokens);

/// One pass of an engine in which requests write, without any reading.
std::chrono::microseconds batchStepTime(const engine_profile &engine, const server_load &load);

} // namespace mustardtrail::gateway
