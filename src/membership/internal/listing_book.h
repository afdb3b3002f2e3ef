#pragma once

#include "membership/internal/logical_clock.h"
#include "membership/internal/news_queue.h"
#include "membership/live_list_entry.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mustardtrail::membership
{

/// What is known of each listed thing: the node's own list, and newer changes that readers of the list passed on.
class listing_book
{
public:
    /// Takes the node's own reading. Changes since its reading before are news; the first reading gives none.
    void read(const std::vector<live_list_entry> &entries, logical_clock &clock);
    /// Takes a peer's news; true when it changed anything.
    bool heard(const listing &news);

    /// State of a backend server; live while no list with backend servers was ever read.
    listing_state backendState(const std::string &id) const;
    listing_state instanceState(const std::string &id) const;
    std::vector<listing> takeNews(int count, int repeats);
    std::uint64_t changes() const;

private:
    using key = std::pair<listing_kind, std::string>;

    void note(const key &subject, listing_state state, logical_clock &clock);

    std::map<key, listing_state> m_listed;
    std::map<key, listing> m_changed;
    news_queue<listing> m_news;
    std::uint64_t m_changes = 0;
    bool m_hasRead = false;
    bool m_listsBackends = false;
};

} // namespace mustardtrail::membership
