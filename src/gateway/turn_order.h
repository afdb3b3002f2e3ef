#pragma once

#include <chrono>
#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// Turns at the capacity of one service by urgency. Guards against starvation: the most urgent requests go first, but of the
/// capacity that becomes free each urgency with waiting requests gets at least one in eight. Of requests that need equal work that
/// is one turn in eight; longer requests have turns as much rarer.
class turn_order
{
public:
    /// The work that the next request of each urgency needs, by waiting urgency.
    using waiting_work = std::map<int, std::chrono::microseconds>;

    /// Returns the urgency, of these, that must get the next turn; nullopt while the most urgent may have it.
    std::optional<int> overdue(const waiting_work &waiting) const;
    /// Records that a request of this urgency, which needs `work`, got capacity while these urgencies waited.
    void recordTurn(int urgency, std::chrono::microseconds work, const waiting_work &waiting);

    static constexpr int guaranteedTurnEvery = 8; ///< With more waiting urgencies than that they take turns.
    static constexpr std::chrono::microseconds minWork{ 1'000 }; ///< Of a request whose work is unknown.

private:
    std::map<int, std::chrono::microseconds> m_missed; ///< Work that others got, by each waiting urgency since its last turn.
};

} // namespace mustardtrail::gateway
