#pragma once

#include "base/clock.h"
#include "gateway/prompt_part.h"

#include <optional>
#include <unordered_map>

namespace mustardtrail::gateway
{

/// When this instance last wrote an answer on a part, for the last seconds and a bounded number of parts. News of a crash may
/// come after the answer that clears a part of it.
class recent_answers
{
public:
    void record(prompt_part part, time_point now);
    std::optional<time_point> find(prompt_part part) const;

    static constexpr std::chrono::seconds period{ 2 }; ///< Answers are kept for one to two periods.
    static constexpr size_t maxPartsPerPeriod = 4'096; ///< Answers on others are not kept.

private:
    using answer_map = std::unordered_map<prompt_part, time_point>;

    answer_map m_current;
    answer_map m_earlier;
    time_point m_periodEndsAt{};
};

} // namespace mustardtrail::gateway
