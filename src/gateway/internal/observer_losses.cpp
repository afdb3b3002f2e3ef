#include "gateway/observer_losses.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::milliseconds;

observer_losses::observer_losses(peer_address self)
    : m_self(self)
{
}

bool observer_losses::recordOwn(server_start_key server, time_point sentAt, time_point now)
{
    std::erase_if(m_lost, [now](const auto &entry) {
        return now - entry.second.at > atOnce;
    });
    const auto [found, isNew] = m_lost.try_emplace(server, lost_connection{ sentAt, now });
    found->second.sentAt = std::min(found->second.sentAt, sentAt);
    const auto first = firstOfSeveral();
    if (!first || m_self == unnamedObserver) {
        return false;
    }
    return store({ m_self, *first, now + aftermath }, milliseconds(0), now);
}

std::optional<time_point> observer_losses::firstOfSeveral() const
{
    std::optional<time_point> earliest;
    for (const auto &each : m_lost) {
        const lost_connection &first = each.second;
        const auto together = std::count_if(m_lost.begin(), m_lost.end(), [&first](const auto &entry) {
            return entry.second.at >= first.at && entry.second.sentAt <= first.at;
        });
        if (static_cast<size_t>(together) >= minServers) {
            earliest = std::min(earliest.value_or(first.at), first.at);
        }
    }
    return earliest;
}

// Times grow by the network's delay at each hop, so a slightly later one may be what is known already.
bool observer_losses::recordHeard(const observer_loss &loss, time_point now)
{
    const bool isOld = now - loss.until > retention;
    const bool isUnlikely = loss.observer == unnamedObserver || loss.until < loss.from || loss.until > now + aftermath;
    if (isOld || isUnlikely || loss.observer == m_self) {
        return false;
    }
    return store(loss, reportJitter, now);
}

bool observer_losses::store(const observer_loss &loss, milliseconds tolerance, time_point now)
{
    if (!m_losses.contains(loss.observer) && m_losses.size() >= maxObservers) {
        return false;
    }
    auto &known = m_losses[loss.observer];
    const auto same = std::find_if(known.begin(), known.end(), [&](const loss_record &each) {
        return loss.from <= each.loss.until && loss.until >= each.loss.from;
    });
    if (same == known.end()) {
        if (known.size() >= maxLossesPerObserver) {
            known.erase(known.begin());
        }
        known.push_back({ loss, now });
        return true;
    }
    if (loss.from + tolerance >= same->loss.from && loss.until <= same->loss.until + tolerance) {
        return false;
    }
    same->loss.from = std::min(same->loss.from, loss.from);
    same->loss.until = std::max(same->loss.until, loss.until);
    same->changedAt = now;
    return true;
}

bool observer_losses::isDoubtful(peer_address observer, time_point at) const
{
    const auto known = m_losses.find(observer);
    const milliseconds uncertainty = observer == m_self ? milliseconds(0) : 2 * reportJitter;
    return known != m_losses.end() && std::any_of(known->second.begin(), known->second.end(), [&](const loss_record &each) {
        return at + uncertainty >= each.loss.from && at <= each.loss.until;
    });
}

void observer_losses::tellAgain(peer_address observer, time_point now)
{
    if (const auto known = m_losses.find(observer); known != m_losses.end()) {
        for (loss_record &each : known->second) {
            each.changedAt = now;
        }
    }
}

std::vector<observer_loss> observer_losses::news(milliseconds maxAge, time_point now) const
{
    std::vector<observer_loss> news;
    for (const auto &[observer, known] : m_losses) {
        for (const loss_record &each : known) {
            if (now - each.changedAt <= maxAge) {
                news.push_back(each.loss);
            }
        }
    }
    return news;
}

void observer_losses::expire(time_point now)
{
    for (auto &[observer, known] : m_losses) {
        std::erase_if(known, [now](const loss_record &each) {
            return now - each.loss.until > retention;
        });
    }
    std::erase_if(m_losses, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace mustardtrail::gateway
