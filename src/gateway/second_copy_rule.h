#pragma once

#include "base/clock.h"
#include "gateway/latency_quantiles.h"
#include "gateway/placement_candidate.h"
#include "gateway/route.h"

#include <optional>
#include <string_view>

namespace mustardtrail::gateway
{

/// A request whose first send has not been answered yet.
struct second_copy_state {
    bool isRepeatable = false; ///< See `mayBeCopied`.
    bool hasFirstEvent = false; ///< The caller has part of the answer.
    std::chrono::microseconds elapsed{ 0 }; ///< Since the first send.
    std::chrono::microseconds firstForecast{ 0 }; ///< Time from the first send to its first event, as predicted then.
    latency_estimate slow; ///< Latency quantile from which a send counts as slow.
    unsigned slots = 0; ///< Of the service.
    unsigned freeSlots = 0;
    size_t waitingPrompts = 0;
    bool isPromptDoubted = false; ///< A part of the prompt is quarantined, or this send is the trial of one.
    std::optional<std::chrono::microseconds> copyForecast; ///< Until the first event of a copy; nothing without a fit server.
    std::chrono::microseconds timeLeft{ 0 }; ///< Until the caller's deadline.
    unsigned attempts = 0; ///< Servers that may have run the request, including those that run it now.
    unsigned maxAttempts = 1;
    bool hasBudget = false; ///< The resend budget has room for a copy.
    double admittedShare = 0.0; ///< See `second_copy_account`; a random number decides `isWithinLimit`.
    bool isWithinLimit = false; ///< The copy's work included.
};

struct second_copy_verdict {
    enum class action { send, wait, no };

    action next = action::no;
    std::chrono::microseconds waitUntil{ 0 }; ///< Time since the first send at which to decide again; only with `wait`.
    std::string_view reason;
};

/// State of a server that could take a copy.
struct copy_server_state {
    bool isCold = false;
    bool isSlow = false;
};

/// Whether a request to this route may run at two servers at once: an idempotent one with a complete answer, or a resumable
/// stream.
bool mayBeCopied(const route &route);

/// Whether a copy may go to this server: with a free slot, and neither suspected nor cold nor slow.
bool isFitForCopy(const placement_candidate &candidate, const copy_server_state &state);

/// Decides whether to send a second copy of a request that is merely slow. Guards against the latency of a single slow server;
/// sends nothing where a copy would take capacity from other requests.
second_copy_verdict decideSecondCopy(const second_copy_state &state);

std::string_view toString(second_copy_verdict::action next);

constexpr double slowQuantile = 0.95; ///< A send above it is slow; copies of one request in twenty fit within usual limits.
/// With 10 samples the quantile is the slowest of them, which the next send exceeds once in 11.
constexpr unsigned minLatencySamples = 10;
constexpr double minFreeShare = 0.25; ///< Of the service's slots; with fewer free ones copies would delay first sends.

} // namespace mustardtrail::gateway
