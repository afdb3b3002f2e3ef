#pragma once

#include "gateway/server_evidence.h"

#include <optional>

namespace mustardtrail::gateway
{

/// Decides when to ask a server whose connection was lost whether it still runs, and when to ask no more. A question that reached nobody
/// is no answer, so it is asked again.
class server_inquiry
{
public:
    explicit server_inquiry(time_point doubtedAt);

    /// Records that a further connection to the server was lost: an answer to an earlier question says nothing of it.
    void recordDoubt(time_point at);
    /// Records what became of a question; `evidence.at` is when it was asked.
    void recordEvidence(const server_evidence &evidence, time_point now);
    /// Returns when to ask; nullopt once an answer was found, none is to be had, or the question has decayed.
    std::optional<time_point> askAt() const;
    /// The latest moment from which on a sign of life would be an answer.
    time_point doubtedAt() const;

    static constexpr std::chrono::milliseconds firstDelay{ 100 }; ///< Between two questions; doubled after each.
    static constexpr std::chrono::milliseconds maxDelay{ 2'000 };
    static constexpr std::chrono::seconds openFor{ 10 }; ///< Since the latest doubt; covers the usual cut of a path.

private:
    time_point m_doubtedAt;
    std::optional<time_point> m_askAt;
    std::chrono::milliseconds m_delay{ firstDelay };
};

} // namespace mustardtrail::gateway
