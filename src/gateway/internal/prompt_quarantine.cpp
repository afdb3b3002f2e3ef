#include "gateway/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

// A time from another instance is off by the network's delay, which is no news. Two trials are further apart.
constexpr milliseconds sameMoment = prompt_quarantine::firstTrialDelay / 2;
constexpr int trialDelayFactor = 3;
constexpr milliseconds reportDelay{ 20 }; // By which the times of others are late, one more than another.
constexpr milliseconds commonCauseSpan{ 50 }; // Servers that one event ends, as a loss of power, are seen to end within it.

// A part that ended its servers at two trials is mended with the servers' program at the earliest.
milliseconds trialDelay(unsigned failedTrials)
{
    switch (failedTrials) {
    case 0:
        return prompt_quarantine::firstTrialDelay;
    case 1:
        return prompt_quarantine::firstTrialDelay * trialDelayFactor;
    default:
        return prompt_quarantine::maxTrialDelay;
    }
}

template<typename event> void keepLatest(std::vector<event> &events, size_t count)
{
    if (events.size() <= count) {
        return;
    }
    const auto isLater = [](const event &left, const event &right) {
        return left.at > right.at;
    };
    std::nth_element(events.begin(), events.begin() + static_cast<std::ptrdiff_t>(count), events.end(), isLater);
    events.resize(count);
}

} // namespace

prompt_quarantine::prompt_quarantine(change_hook onChange)
    : m_onChange(std::move(onChange))
{
}

void prompt_quarantine::recordCrash(server_start_key server, const std::vector<prompt_part> &parts, time_point sentAt, time_point now)
{
    crash_evidence evidence{ server, now, {} };
    for (const prompt_part part : parts) {
        evidence.sentAt[part] = sentAt;
        if (const auto found = m_quarantined.find(part); found != m_quarantined.end()) {
            const bool wasTrial = std::exchange(found->second.isOnTrial, false);
            quarantine(part, now, found->second.failedTrials + (wasTrial ? 1 : 0), now);
        }
    }
    const part_set suspects = addEvidence(evidence, now);
    if (const auto known = m_crashes.find(server); known != m_crashes.end()) {
        known->second.isOwn = true;
    }
    judge(suspects, now);
}

void prompt_quarantine::recordWritten(const std::vector<prompt_part> &parts, time_point now)
{
    for (const prompt_part part : parts) {
        m_ownAnswers.record(part, now);
        judge(addWritten(part, now, now), now);
    }
}

std::optional<time_point> prompt_quarantine::quarantinedUntil(const std::vector<prompt_part> &parts) const
{
    std::optional<time_point> until;
    for (const prompt_part part : parts) {
        if (const auto found = m_quarantined.find(part); found != m_quarantined.end()) {
            until = std::max(until.value_or(time_point::min()), found->second.since + trialDelay(found->second.failedTrials));
        }
    }
    return until;
}

bool prompt_quarantine::tryTrial(const std::vector<prompt_part> &parts, time_point now)
{
    const auto until = quarantinedUntil(parts);
    if (!until || now < *until) {
        return false;
    }
    for (const prompt_part part : parts) {
        if (const auto found = m_quarantined.find(part); found != m_quarantined.end()) {
            found->second.since = now;
            found->second.changedAt = now;
            found->second.isOnTrial = true;
        }
    }
    return true;
}

prompt_quarantine::part_set prompt_quarantine::addEvidence(const crash_evidence &evidence, time_point now)
{
    if (now - evidence.at > evidenceMaxAge) {
        return {};
    }
    const auto [found, isNew] = m_crashes.try_emplace(evidence.server);
    crash_record &record = found->second;
    if (isNew) {
        record.evidence.server = evidence.server;
        record.evidence.at = evidence.at;
    }
    const size_t known = record.evidence.sentAt.size();
    for (const auto &[part, sentAt] : evidence.sentAt) {
        if (record.evidence.sentAt.size() < maxPartsPerCrash) {
            record.evidence.sentAt.try_emplace(part, sentAt);
        }
    }
    if (record.evidence.sentAt.size() == known) {
        return {};
    }
    record.changedAt = now;
    part_set suspects;
    for (const auto &[part, sentAt] : record.evidence.sentAt) {
        suspects.insert(part);
    }
    for (const prompt_part part : part_set(suspects)) {
        if (const auto answeredAt = m_ownAnswers.find(part)) {
            suspects.merge(addWritten(part, *answeredAt, now));
        }
    }
    if (m_crashes.size() > maxCrashes) {
        dropOldestCrash();
    }
    return suspects;
}

void prompt_quarantine::dropOldestCrash()
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &left, const auto &right) {
        return left.second.evidence.at < right.second.evidence.at;
    });
    m_crashes.erase(oldest);
}

prompt_quarantine::part_set prompt_quarantine::addWritten(prompt_part part, time_point at, time_point now)
{
    const auto quarantined = m_quarantined.find(part);
    bool isNews = quarantined != m_quarantined.end() && at > quarantined->second.since;
    part_set affected;
    for (const auto &[server, record] : m_crashes) {
        if (at > record.evidence.at && isSuspectOf(part, record.evidence)) {
            isNews = true;
            for (const auto &[other, sentAt] : record.evidence.sentAt) {
                affected.insert(other);
            }
        }
    }
    if (!isNews) {
        return {};
    }
    written_record &written = m_written[part];
    written.at = at;
    written.changedAt = now;
    written.hasReleased = written.hasReleased || quarantined != m_quarantined.end();
    if (quarantined != m_quarantined.end()) {
        release(part);
    }
    return affected;
}

void prompt_quarantine::quarantine(prompt_part part, time_point since, unsigned failedTrials, time_point now)
{
    const auto [found, isNew] = m_quarantined.try_emplace(part);
    found->second.since = since;
    found->second.failedTrials = failedTrials;
    found->second.changedAt = now;
    if (isNew && m_onChange) {
        m_onChange(part, true);
    }
}

void prompt_quarantine::release(prompt_part part)
{
    m_quarantined.erase(part);
    if (m_onChange) {
        m_onChange(part, false);
    }
}

bool prompt_quarantine::isSuspectOf(prompt_part part, const crash_evidence &crash) const
{
    if (!crash.sentAt.contains(part)) {
        return false;
    }
    const auto written = m_written.find(part);
    return written == m_written.end() || written->second.at <= crash.at;
}

std::vector<const prompt_quarantine::crash_record *> prompt_quarantine::unexplainedCrashes(prompt_part part) const
{
    std::vector<const crash_record *> found;
    for (const auto &[server, record] : m_crashes) {
        const crash_evidence &crash = record.evidence;
        if (!isSuspectOf(part, crash)) {
            continue;
        }
        const bool isExplained = std::any_of(crash.sentAt.begin(), crash.sentAt.end(), [&](const auto &entry) {
            return entry.first != part && m_quarantined.contains(entry.first);
        });
        if (!isExplained) {
            found.push_back(&record);
        }
    }
    std::sort(found.begin(), found.end(), [](const crash_record *left, const crash_record *right) {
        return left->evidence.at < right->evidence.at;
    });
    return found;
}

unsigned prompt_quarantine::crashesInARow(prompt_part part, const std::vector<const crash_record *> &crashes)
{
    unsigned count = 0;
    std::optional<time_point> last;
    for (const crash_record *crash : crashes) {
        const milliseconds uncertainty = crash->isOwn ? milliseconds(0) : reportDelay;
        const bool isSentAfterLast = !last || crash->evidence.sentAt.at(part) > *last + uncertainty;
        // Copies of one request are rarely in flight together, so what ends their servers one by one is most likely the request.
        const bool endsApart = last && isOwnPart(part) && crash->evidence.at > *last + commonCauseSpan + uncertainty;
        if (isSentAfterLast || endsApart) {
            ++count;
            last = crash->evidence.at;
        }
    }
    return count;
}

bool prompt_quarantine::hasOtherExplanation(prompt_part part, const std::vector<const crash_record *> &crashes, time_point now) const
{
    const auto &others = crashes.front()->evidence.sentAt;
    return std::any_of(others.begin(), others.end(), [&](const auto &entry) {
        // Of a prompt's own part and a shared one beside it, the own one is the narrower explanation: fewer prompts are held back.
        const bool isWider = isOwnPart(part) && !isOwnPart(entry.first);
        return entry.first != part && !isWider && std::all_of(crashes.begin(), crashes.end(), [&](const crash_record *crash) {
            const bool isSettled = now - crash->evidence.at >= settleTime;
            return !isSettled || isSuspectOf(entry.first, crash->evidence);
        });
    });
}

part_suspicion prompt_quarantine::suspicionOf(prompt_part part, time_point now) const
{
    const auto crashes = unexplainedCrashes(part);
    return { crashesInARow(part, crashes), !crashes.empty() && hasOtherExplanation(part, crashes, now), m_quarantined.contains(part) };
}

void prompt_quarantine::judge(const part_set &parts, time_point now)
{
    for (const prompt_part part : parts) {
        if (m_quarantined.contains(part)) {
            continue;
        }
        const auto crashes = unexplainedCrashes(part);
        const unsigned count = crashesInARow(part, crashes);
        if (count < crashesRequired || (count < ambiguousCrashesRequired && hasOtherExplanation(part, crashes, now))) {
            continue;
        }
        if (m_quarantined.size() < maxQuarantined) {
            quarantine(part, crashes.back()->evidence.at, 0, now);
        }
    }
}

void prompt_quarantine::judgeSettled(time_point now)
{
    part_set affected;
    for (auto &[server, record] : m_crashes) {
        if (record.isSettled || now - record.evidence.at < settleTime) {
            continue;
        }
        record.isSettled = true;
        for (const auto &[part, sentAt] : record.evidence.sentAt) {
            affected.insert(part);
        }
    }
    judge(affected, now);
}

quarantine_news prompt_quarantine::news(milliseconds maxAge, time_point now) const
{
    quarantine_news news;
    for (const auto &[server, record] : m_crashes) {
        if (now - record.changedAt <= maxAge) {
            news.crashes.push_back(record.evidence);
        }
    }
    keepLatest(news.crashes, maxCrashesInNews);
    for (const auto &[part, record] : m_written) {
        if (now - record.changedAt <= maxAge) {
            news.written.push_back({ part, record.at });
        }
    }
    keepLatest(news.written, maxWrittenInNews);
    for (const auto &[part, record] : m_quarantined) {
        if (maxAge >= newsMaxAge || now - record.changedAt <= maxAge) {
            news.quarantined.push_back({ part, record.since, record.failedTrials });
        }
    }
    return news;
}

void prompt_quarantine::merge(const quarantine_news &news, time_point now)
{
    part_set affected;
    for (const written_part &each : news.written) {
        affected.merge(addWritten(each.part, each.at, now));
    }
    for (const crash_evidence &each : news.crashes) {
        affected.merge(addEvidence(each, now));
    }
    for (const quarantined_part &each : news.quarantined) {
        const auto written = m_written.find(each.part);
        // Both times grow by the network's delay at each hop; compared to the millisecond, they would overtake each other for ever.
        if (written != m_written.end() && written->second.at + settleTime > each.since) {
            written->second.changedAt = now;
            continue;
        }
        const auto known = m_quarantined.find(each.part);
        const bool isNews = known == m_quarantined.end()
            ? m_quarantined.size() < maxQuarantined
            : each.failedTrials > known->second.failedTrials || each.since > known->second.since + sameMoment;
        if (isNews) {
            quarantine(
                each.part, each.since, std::max(each.failedTrials, known == m_quarantined.end() ? 0 : known->second.failedTrials), now);
        }
    }
    judge(affected, now);
    judgeSettled(now);
}

void prompt_quarantine::expire(time_point now)
{
    judgeSettled(now);
    std::erase_if(m_crashes, [now](const auto &entry) {
        return now - entry.second.evidence.at > evidenceMaxAge;
    });
    std::erase_if(m_written, [now](const auto &entry) {
        return now - entry.second.at > (entry.second.hasReleased ? milliseconds(quarantineMaxAge) : milliseconds(evidenceMaxAge));
    });
    std::erase_if(m_quarantined, [now](const auto &entry) {
        return now - entry.second.since > quarantineMaxAge;
    });
}

size_t prompt_quarantine::size() const
{
    return m_quarantined.size();
}

} // namespace mustardtrail::gateway
