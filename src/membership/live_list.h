#pragma once

#include "base/clock.h"
#include "membership/parse_live_list.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::membership
{

enum class live_list_outcome {
    accepted,
    unavailable,
    invalid,
    empty,
    older, ///< An entry went back to an earlier incarnation.
    shrunk, ///< More than half of the entries are gone; taken only when it is read again and again.
};

std::string_view toString(live_list_outcome outcome);

/// Last good version of the platform's list. A list that is empty, older, damaged or unavailable leaves it as it is.
class live_list
{
public:
    live_list_outcome take(const result<std::string> &body, time_point now);

    const std::vector<live_list_entry> &entries() const;
    /// Grows each time that a list with another text is accepted.
    std::uint64_t version() const;
    std::optional<std::chrono::milliseconds> age(time_point now) const;

    /// Readings in a row that must agree before a list that lost more than half of its entries is taken.
    static constexpr int shrunkReadings = 5;
    bool keepsLastGood = true; ///< Off only in tests of this mechanism.

private:
    live_list_outcome check(const std::vector<live_list_entry> &entries);
    bool isOlder(const std::vector<live_list_entry> &entries) const;

    std::vector<live_list_entry> m_entries;
    std::string m_text; ///< That the entries were read from.
    std::uint64_t m_version = 0;
    std::optional<time_point> m_readAt;
    int m_shrunkInARow = 0;
};

} // namespace mustardtrail::membership
