#include "membership/internal/list_follower.h"

#include "base/log_line.h"

namespace mustardtrail::membership
{

list_follower::list_follower(const view_settings &settings, random_source &random)
    : m_settings(settings)
    , m_duty(settings.list, random)
    , m_random(random)
{
    m_list.keepsLastGood = settings.keepsLastGoodList;
}

const live_list &list_follower::list() const
{
    return m_list;
}

const listing_book &list_follower::book() const
{
    return m_book;
}

const reader_duty &list_follower::duty() const
{
    return m_duty;
}

void list_follower::hearAge(std::chrono::milliseconds age, time_point now)
{
    m_duty.heardAge(age, now);
}

bool list_follower::hearListing(const listing &news)
{
    return m_book.heard(news);
}

std::vector<listing> list_follower::takeNews(int count, int repeats)
{
    return m_book.takeNews(count, repeats);
}

// A node without a list reads at once: it knows no peer to ask.
std::vector<view_action> list_follower::tick(int rank, time_point now)
{
    const bool due = m_duty.isDue(rank, now) || (now >= m_nextOwn && !m_duty.inFlight(now));
    if (!due) {
        return {};
    }
    m_duty.started(m_settings.list.timeout * 2, now);
    m_askedAt = now;
    const auto spread = static_cast<std::uint64_t>(m_settings.listRefresh.count());
    m_nextOwn = now + m_settings.listRefresh + std::chrono::milliseconds(m_random.below(spread));
    return { read_live_list{ m_settings.list.timeout } };
}

std::vector<view_action> list_follower::received(const result<std::string> &body, logical_clock &clock, bool &accepted, time_point now)
{
    m_answeredAskedAt = m_askedAt;
    const live_list_outcome outcome = m_list.take(body, now);
    accepted = outcome == live_list_outcome::accepted;
    if (accepted) {
        if (std::exchange(m_bookVersion, m_list.version()) != m_list.version()) {
            m_book.read(m_list.entries(), clock);
        }
        m_duty.succeeded(now);
    } else {
        m_duty.failed(now);
    }
    if (std::exchange(m_lastOutcome, outcome) == outcome) {
        return {};
    }
    return { log_event{ log_line("live_list").add("outcome", toString(outcome)).str() } };
}

void list_follower::refresh(time_point now)
{
    m_nextOwn = now;
}

bool list_follower::hasAnswerSince(time_point since) const
{
    return m_answeredAskedAt && *m_answeredAskedAt >= since;
}

} // namespace mustardtrail::membership
