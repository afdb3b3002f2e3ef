#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/reader_settings.h"

#include <cstdint>
#include <optional>

namespace mustardtrail::membership
{

/// Decides when this node reads a service: at once for the chosen readers, after silence for the others.
class reader_duty
{
public:
    reader_duty(const reader_settings &settings, random_source &random);

    bool isDue(int rank, time_point now) const;
    bool isChosen(int rank) const;
    /// A read starts; without an answer it counts as failed after `allowed`.
    void started(std::chrono::milliseconds allowed, time_point now);
    void succeeded(time_point now);
    void failed(time_point now);
    /// A peer knows of a reading that long ago.
    void heardAge(std::chrono::milliseconds age, time_point now);
    /// Someone holds something newer: what was read before is not fresh.
    void startSilence(time_point now);
    void readAt(time_point at);

    std::optional<std::chrono::milliseconds> age(time_point now) const;
    std::uint64_t reads() const;
    bool inFlight(time_point now) const;

private:
    std::chrono::milliseconds silenceBound(int rank) const;
    std::chrono::milliseconds jitter(std::chrono::milliseconds longest);

    reader_settings m_settings;
    random_source &m_random;
    std::optional<time_point> m_freshAt;
    std::optional<time_point> m_silentSince;
    std::optional<time_point> m_answerBy;
    time_point m_nextRead{};
    time_point m_nextStepIn{}; ///< Of a node that is not a chosen reader.
    std::chrono::milliseconds m_backoff;
    std::chrono::milliseconds m_jitter{ 0 };
    std::uint64_t m_reads = 0;
};

} // namespace mustardtrail::membership
