#pragma once

#include "membership/listing.h"
#include "membership/member_news.h"

#include <map>
#include <string>
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
        m_entries[subject] = { std::move(news), 0 };
    }

    void erase(const std::string &subject)
    {
        m_entries.erase(subject);
    }

    /// Up to `count` items, each counted as sent once.
    std::vector<item> take(int count, int repeats)
    {
        std::vector<item> taken;
        for (int sent = 0; sent < repeats && static_cast<int>(taken.size()) < count; ++sent) {
            takeSentSoOften(sent, count, taken);
        }
        std::erase_if(m_entries, [repeats](const auto &entry) {
            return entry.second.sent >= repeats;
        });
        for (auto &[subject, entry] : m_entries) {
            entry.takenNow = false;
        }
        return taken;
    }

    size_t size() const
    {
        return m_entries.size();
    }

private:
    struct entry_state {
        item news;
        int sent = 0;
        bool takenNow = false;
    };

    void takeSentSoOften(int sent, int count, std::vector<item> &taken)
    {
        for (auto &[subject, entry] : m_entries) {
            if (static_cast<int>(taken.size()) >= count) {
                return;
            }
            if (entry.sent == sent && !entry.takenNow) {
                taken.push_back(entry.news);
                ++entry.sent;
                entry.takenNow = true;
            }
        }
    }

    std::map<std::string, entry_state> m_entries;
};

/// Times one item is passed on by one node: grows with the number of digits of the fleet's size.
int newsRepeats(int factor, size_t members);

} // namespace mustardtrail::membership
