#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace mustardtrail::membership
{

/// Count that follows wall clocks in milliseconds and never falls behind one that was heard from a peer.
class logical_clock
{
public:
    void wallClock(std::chrono::system_clock::time_point reading);
    /// A peer's count; one that is far ahead of the own wall clock is ignored.
    void heard(std::uint64_t other);
    /// Next value, above all that were given or heard.
    std::uint64_t next();
    std::uint64_t current() const;

    /// How far a peer's count may be ahead of the own wall clock.
    static constexpr std::chrono::hours maxAhead{ 24 };

private:
    std::uint64_t m_value = 0;
    std::optional<std::uint64_t> m_wall;
};

} // namespace mustardtrail::membership
