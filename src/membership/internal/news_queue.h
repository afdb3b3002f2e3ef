#pragma once

#include "membership/listing.h"
#include "membership/member_news.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardtrail::membership
{

/// News waiting to be passed on; each item goes out a bounded number of times, the least sent first.
template<typename item> class news_queue
{
public:
    /// Replaces older news about the same subject.
    void put(const std::string &subject, item news)
    {
        entry_state &entry = m_entries[subject];
        m_order.erase(order_key(entry.sent, subject));
        entry = { std::move(news), 0 };
        m_order.insert(order_key(0, subject));
    }

    void drop(const std::string &subject)
    {
        const auto found = m_entries.find(subject);
        if (found != m_entries.end()) {
            m_order.erase(order_key(found->second.sent, subject));
            m_entries.erase(found);
        }
    }

    /// Up to `count` items, each counted as sent once.
    std::vector<item> take(int count, int repeats)
    {
        std::vector<item> taken;
        std::vector<order_key> again;
        while (static_cast<int>(taken.size()) < count && !m_order.empty()) {
            const order_key next = *m_order.begin();
            m_order.erase(m_order.begin());
            entry_state &entry = m_entries[next.second];
            taken.push_back(entry.news);
            if (++entry.sent < repeats) {
                again.emplace_back(entry.sent, next.second);
            } else {
                m_entries.erase(next.second);
            }
        }
        m_order.insert(again.begin(), again.end());
        return taken;
    }

private:
    using order_key = std::pair<int, std::string>; ///< Times sent, subject.

    struct entry_state {
        item news;
        int sent = 0;
    };

    std::map<std::string, entry_state> m_entries;
    std::set<order_key> m_order;
};

/// Times one item is passed on by one node: factor times one more than the number of digits of the fleet's size.
int newsRepeats(int factor, size_t members);

} // namespace mustardtrail::membership
