#pragma once

#include "base/clock.h"
#include "gateway/store_position.h"

#include <cstdint>
#include <string>

namespace mustardtrail::gateway
{

/// Query to the platform's store.
struct store_query {
    enum class kind {
        list, ///< One page of the full listing, starting after `afterKey`.
        changes, ///< Long poll for the changes after `afterRevision`.
    };

    kind type = kind::list;
    bool mayBeStale = false; ///< List only: an answer that is seconds old is enough, as the changes since are read next. It costs less.
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    std::chrono::milliseconds longPollTimeout{ 0 }; ///< How long the store may wait for a change.
    std::chrono::milliseconds delay{ 0 }; ///< Wait before the query is sent.
};

/// Why a query has failed.
enum class store_failure {
    no_answer, ///< Or none that can be used: the store may be down for all.
    beyond_limit, ///< The store serves others and refuses calls beyond a limit.
    too_large, ///< The store has answered with more than can be read.
};

/// List-and-watch state of the platform's store: reads the full listing once, then follows the changes. Handles a store that
/// is down, is slow, refuses this instance, has dropped its history or was restored from an older copy. Reads changes in batches, as each
/// call has a price.
class store_watcher
{
public:
    /// `batchDelay`: wait after a response with changes, so that the next one returns a batch. `reconnectLimit`: time limit for
    /// all to work again after a connection has failed.
    store_watcher(std::chrono::milliseconds batchDelay, std::chrono::milliseconds reconnectLimit);

    store_query nextQuery() const;

    /// Records the era of an answer, or one that another instance has seen. A rise restarts with a full listing, as revisions
    /// of different eras cannot be compared. Returns false when the era is older than the known one; 0 is the first one or not told.
    bool onEra(std::uint64_t era, time_point now);
    /// Whether the store was restored so recently that not all has been written again that it had lost.
    bool isSettling(time_point now) const;
    /// Whether the listing being read is the first of a restored store.
    bool isFirstListOfEra() const;
    /// Records a page of the listing. Returns true when the listing is complete.
    bool onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey, time_point now);
    /// Records a response with `count` changes. Returns false when its revision is older than the known one.
    bool onChanges(std::uint64_t storeRevision, size_t count, time_point now);
    /// Records the changes between two revisions of the known era, relayed by another instance. Returns false when earlier changes
    /// are missing here.
    bool onRelay(std::uint64_t fromRevision, std::uint64_t toRevision, time_point graceUntil, time_point now);
    /// Records an answer of the store to another instance that holds nothing new here.
    void onRelayOfKnownRevision(std::uint64_t revision, time_point now);
    bool hasList() const;
    /// Whether all changes up to the last answer are known. A list that may be stale is not enough.
    bool isListConfirmed() const;
    std::uint64_t revision() const;
    store_position position() const;
    /// The store no longer has the changes after the known revision: restarts with a full listing.
    void onHistoryGone();
    /// Changes that are too large to read are listed instead: a list has pages, and no values that have been replaced.
    void onFailure(store_failure why = store_failure::no_answer);

    bool isReachable() const;
    /// Returns the end of the grace period after a store outage. Until then servers missing from the list are kept, as they may
    /// not have registered again. In the past when there was no outage.
    time_point graceUntil() const;

    static constexpr std::chrono::milliseconds longPollTimeout{
        500
    }; ///< Also bounds the time until other instances notice that this one gets no response.
    static constexpr std::chrono::milliseconds settlingTime{ 2'000 }; ///< Time for lost entries to be written again to a restored store.
    static constexpr std::chrono::milliseconds outageGrace{ 2'000 }; ///< Time for servers to register again after an outage of the store.

private:
    void recordAnswer(time_point now);
    time_point graceAfterFailures(time_point now) const;
    bool hasRead() const;

    std::chrono::milliseconds m_batchDelay;
    std::chrono::milliseconds m_reconnectLimit;
    bool m_hasList = false;
    bool m_mayListBeStale = true; ///< False once a stale list was too old to continue from.
    bool m_isListConfirmed = false; ///< Changes have been read since the list, which may have been stale.
    std::string m_afterKey;
    std::uint64_t m_listRevision = 0; ///< Lowest revision of the pages, which may be of different age.
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 0; ///< The first era may be 0, so its rise from 0 counts once something was read.
    time_point m_settlingUntil{};
    bool m_isFirstListOfEra = false;
    size_t m_lastChangeCount = 0;
    unsigned m_failures = 0;
    unsigned m_missingAnswers = 0; ///< Of the failures.
    bool m_isRevisionListed = false; ///< The last answer that told the revision was a list.
    unsigned m_uselessLists = 0; ///< Lists after which the store had no history; its revision is below the known one.
    time_point m_graceUntil{};
    time_point m_lastAnswerAt{};
    time_point m_lastRelayAt{};
};

} // namespace mustardtrail::gateway
