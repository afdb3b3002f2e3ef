#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace mustardtrail::gateway
{

/// Next question to the platform's store.
struct store_question {
    enum class kind {
        list, ///< One page of everything, behind `afterKey`.
        changes, ///< What came after `afterRevision`; the store may wait until there is something.
    };

    kind what = kind::list;
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    std::chrono::milliseconds storeWait{ 0 };
    std::chrono::milliseconds pauseBefore{ 0 };
};

/// Decides what to ask the store and when: a whole list once, then changes. Answers a store that is down, slow, turns
/// this instance away or drops its history, and the price of a call (changes are taken up in batches).
class store_follower
{
public:
    /// Changes are taken up this long after an answer with changes.
    explicit store_follower(std::chrono::milliseconds batchPause);

    store_question next() const;

    /// A page arrived. True when the list is complete.
    bool onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey, time_point now);
    /// Changes arrived, `count` of them. False when the store answered from an older state than was already seen.
    bool onChanges(std::uint64_t storeRevision, size_t count, time_point now);
    /// Another instance read the changes between the two revisions. False when changes before them are not known here.
    bool onRelay(std::uint64_t fromRevision, std::uint64_t toRevision, time_point settledAt);
    bool hasList() const;
    std::uint64_t revision() const;
    /// The changes behind the known revision are gone, so the whole list is read again.
    void onHistoryGone();
    void onFailure();

    bool isReachable() const;
    /// Until here an entry may be missing only because the store was away. In the past when it was not.
    time_point settledAt() const;

    static constexpr std::chrono::milliseconds changesWait{ 500 }; ///< Other instances notice within it that this one is not answered.
    static constexpr std::chrono::milliseconds settling{ 2'000 }; ///< After the store's return servers write their entries again.

private:
    void noteAnswer(time_point now);

    std::chrono::milliseconds m_batchPause;
    bool m_hasList = false;
    std::string m_afterKey;
    std::uint64_t m_listRevision = 0; ///< Of the first page: later pages may be newer.
    std::uint64_t m_revision = 0;
    size_t m_lastCount = 0;
    unsigned m_failures = 0;
    time_point m_settledAt{};
};

} // namespace mustardtrail::gateway
