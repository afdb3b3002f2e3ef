#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace mustardtrail::gateway
{

/// Next question to the platform's store.
struct store_query {
    enum class kind {
        list, ///< One page of everything, behind `afterKey`.
        changes, ///< What came after `afterRevision`; the store may wait until there is something.
    };

    kind type = kind::list;
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    std::chrono::milliseconds longPollTimeout{ 0 };
    std::chrono::milliseconds delay{ 0 };
};

/// Decides what to ask the store and when: a whole list once, then changes. Answers a store that is down, slow, turns
/// this instance away or drops its history, and the price of a call (changes are taken up in batches).
class store_watcher
{
public:
    /// Changes are taken up this long after an answer with changes.
    explicit store_watcher(std::chrono::milliseconds batchDelay);

    store_query nextQuery() const;

    /// A page arrived. True when the list is complete.
    bool onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey, time_point now);
    /// Changes arrived, `count` of them. False when the store answered from an older state than was already seen.
    bool onChanges(std::uint64_t storeRevision, size_t count, time_point now);
    /// Another instance read the changes between the two revisions. False when changes before them are not known here.
    bool onRelay(std::uint64_t fromRevision, std::uint64_t toRevision, time_point graceUntil);
    bool hasList() const;
    std::uint64_t revision() const;
    /// The changes behind the known revision are gone, so the whole list is read again.
    void onHistoryGone();
    void onFailure();

    bool isReachable() const;
    /// Until here an entry may be missing only because the store was away. In the past when it was not.
    time_point graceUntil() const;

    static constexpr std::chrono::milliseconds longPollTimeout{ 500 }; ///< Other instances notice within it that this one is not answered.
    static constexpr std::chrono::milliseconds outageGrace{ 2'000 }; ///< After the store's return servers write their entries again.

private:
    void recordAnswer(time_point now);

    std::chrono::milliseconds m_batchDelay;
    bool m_hasList = false;
    std::string m_afterKey;
    std::uint64_t m_listRevision = 0; ///< Of the first page: later pages may be newer.
    std::uint64_t m_revision = 0;
    size_t m_lastChangeCount = 0;
    unsigned m_failures = 0;
    time_point m_graceUntil{};
};

} // namespace mustardtrail::gateway
