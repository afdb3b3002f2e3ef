#pragma once

#include "gateway/load_tracker.h"
#include "gateway/service_profile.h"

#include <chrono>
#include <cstddef>

namespace mustardtrail::gateway
{

/// Time that one idle engine needs to prefill a prompt.
std::chrono::microseconds prefillTime(const engine_profile &engine, std::int64_t promptTokens);

/// Prefill time of one part; shorter ones cost the engines more than they gain.
inline constexpr std::chrono::microseconds partTarget{ 60'000 };
/// Engines that may prefill one prompt: the answering one and the 16 helpers that a request may name.
inline constexpr size_t maxParts = 17;

/// Number of engines among which a prompt is best split.
size_t bestPartCount(const engine_profile &engine, std::int64_t promptTokens);
/// A published time at an engine of this slowness; unchanged at 1.0.
std::chrono::microseconds slowedBy(std::chrono::microseconds time, double slowness);

/// Duration of one batch step of the engine's decoding requests, without any prefill.
std::chrono::microseconds batchStepTime(const engine_profile &engine, const server_load &load);

} // namespace mustardtrail::gateway
