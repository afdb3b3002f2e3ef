#pragma once

#include "membership/internal/listing_book.h"
#include "membership/internal/reader_duty.h"
#include "membership/live_list.h"
#include "membership/view_actions.h"
#include "membership/view_settings.h"

#include <string>
#include <vector>

namespace mustardtrail::membership
{

/// Keeps the platform's list up to date: few readers read it often, every node now and then.
class list_follower
{
public:
    list_follower(const view_settings &settings, random_source &random);

    const live_list &list() const;
    const listing_book &book() const;
    const reader_duty &duty() const;

    void hearAge(std::chrono::milliseconds age, time_point now);
    bool hearListing(const listing &news);
    std::vector<listing> takeNews(int count, int repeats);

    std::vector<view_action> tick(int rank, time_point now);
    /// Sets `accepted` when the list was taken.
    std::vector<view_action> received(const result<std::string> &body, logical_clock &clock, bool &accepted, time_point now);
    void refresh(time_point now);
    /// A result has come, good or not, to a read that was started at `since` or later.
    bool hasAnswerSince(time_point since) const;

private:
    view_settings m_settings;
    live_list m_list;
    listing_book m_book;
    std::uint64_t m_bookVersion = 0; ///< Of the list that the book has read.
    reader_duty m_duty;
    random_source &m_random;
    std::optional<time_point> m_askedAt;
    std::optional<time_point> m_answeredAskedAt;
    time_point m_nextOwn{};
    live_list_outcome m_lastOutcome = live_list_outcome::accepted;
};

} // namespace mustardtrail::membership
