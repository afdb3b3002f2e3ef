#include "membership/live_list.h"

#include <algorithm>
#include <map>

namespace mustardtrail::membership
{

std::string_view toString(live_list_outcome outcome)
{
    switch (outcome) {
    case live_list_outcome::accepted:
        return "accepted";
    case live_list_outcome::unavailable:
        return "unavailable";
    case live_list_outcome::invalid:
        return "invalid";
    case live_list_outcome::empty:
        return "empty";
    case live_list_outcome::older:
        return "older";
    case live_list_outcome::shrunk:
        return "shrunk";
    }
    return "invalid";
}

live_list_outcome live_list::take(const result<std::string> &body, time_point now)
{
    if (!body) {
        return live_list_outcome::unavailable;
    }
    // Reading 12,000 entries anew each second is most of what this process would do.
    if (m_version > 0 && *body == m_text) {
        m_readAt = now;
        m_shrunkInARow = 0;
        return live_list_outcome::accepted;
    }
    auto entries = parseLiveList(*body);
    if (!entries) {
        return live_list_outcome::invalid;
    }
    const live_list_outcome outcome = keepsLastGood ? check(*entries) : live_list_outcome::accepted;
    if (outcome == live_list_outcome::accepted) {
        m_entries = std::move(*entries);
        m_text = *body;
        ++m_version;
        m_readAt = now;
        m_shrunkInARow = 0;
    }
    return outcome;
}

live_list_outcome live_list::check(const std::vector<live_list_entry> &entries)
{
    if (entries.empty()) {
        return live_list_outcome::empty;
    }
    if (isOlder(entries)) {
        return live_list_outcome::older;
    }
    if (entries.size() * 2 < m_entries.size() && ++m_shrunkInARow < shrunkReadings) {
        return live_list_outcome::shrunk;
    }
    return live_list_outcome::accepted;
}

bool live_list::isOlder(const std::vector<live_list_entry> &entries) const
{
    std::map<std::pair<listing_kind, std::string>, std::uint64_t> known;
    for (const live_list_entry &entry : m_entries) {
        known.emplace(std::pair(entry.kind, entry.id), entry.incarnation);
    }
    return std::any_of(entries.begin(), entries.end(), [&known](const live_list_entry &entry) {
        const auto found = known.find(std::pair(entry.kind, entry.id));
        return found != known.end() && entry.incarnation < found->second;
    });
}

const std::vector<live_list_entry> &live_list::entries() const
{
    return m_entries;
}

std::uint64_t live_list::version() const
{
    return m_version;
}

std::optional<std::chrono::milliseconds> live_list::age(time_point now) const
{
    if (!m_readAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_readAt);
}

} // namespace mustardtrail::membership
