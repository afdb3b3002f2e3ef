#include "gateway/prompt_quarantine.h"

#include "gateway/internal/crash_judgement.h"

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

} // namespace

prompt_quarantine::prompt_quarantine(change_hook onChange, peer_address self)
    : m_onChange(std::move(onChange))
    , m_self(self)
    , m_losses(self)
{
}

void prompt_quarantine::recordCrash(server_start_key server, const std::vector<prompt_part> &parts, time_point sentAt, time_point now)
{
    recordLostConnection(server, sentAt, now);
    const bool isInDoubt = m_losses.isDoubtful(m_self, now);
    crash_evidence evidence{ server, now, {} };
    evidence.observers.insert(m_self);
    for (unsigned position = 0; position < parts.size(); ++position) {
        const prompt_part part = parts[position];
        evidence.sentAt[part] = sentAt;
        evidence.positions[part] = position;
        if (const auto found = m_quarantined.find(part); found != m_quarantined.end()) {
            const bool wasTrial = std::exchange(found->second.isOnTrial, false);
            quarantine({ part, now, found->second.failedTrials + (wasTrial && !isInDoubt ? 1 : 0), found->second.crashes }, now);
        }
    }
    if (addEvidence(evidence, true, now)) {
        judge(now);
    }
}

void prompt_quarantine::recordRunning(server_start_key server, time_point at, time_point now)
{
    m_sightings.recordOwn(server, at, now);
    judge(now);
}

void prompt_quarantine::recordWritten(const std::vector<prompt_part> &parts, time_point now)
{
    for (const prompt_part part : parts) {
        m_ownAnswers.record(part, now);
        if (addWritten(part, now, now)) {
            judge(now);
        }
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

bool prompt_quarantine::addEvidence(const crash_evidence &evidence, bool isOwn, time_point now)
{
    if (now - evidence.at > evidenceMaxAge) {
        return false;
    }
    const auto [found, isFirst] = m_crashes.try_emplace(evidence.server);
    crash_record &record = found->second;
    // The server went on after the crash that is known, so this may be its real one.
    const bool isNext = !isFirst && isRefuted(record) && !m_sightings.refutes(evidence, isOwn);
    const bool isNew = isFirst || isNext;
    if (isNext) {
        record = {};
    } else if (!isFirst && !isRefuted(record) && m_sightings.refutes(evidence, isOwn)) {
        return false; // Old news of a loss before the crash that is known: its suspects were not there.
    }
    record.isOwn = record.isOwn || isOwn;
    if (isNew) {
        record.evidence.server = evidence.server;
        record.evidence.at = evidence.at;
    }
    bool isNewsOfIt = mergeEvidence(record.evidence, evidence, maxPartsPerCrash);
    isNewsOfIt = addObservers(record.evidence, evidence.observers) || isNewsOfIt;
    std::vector<written_part> answers;
    for (const auto &[part, sentAt] : record.evidence.sentAt) {
        if (const auto answeredAt = m_ownAnswers.find(part)) {
            answers.push_back({ part, *answeredAt });
        }
    }
    for (const written_part &each : answers) {
        if (each.at <= record.evidence.at) {
            isNewsOfIt = record.evidence.answeredBefore.insert(each.part).second || isNewsOfIt;
        }
    }
    if (!isNewsOfIt) {
        return false;
    }
    record.changedAt = now;
    for (const written_part &each : answers) {
        addWritten(each.part, each.at, now);
    }
    if (m_crashes.size() > maxCrashes) {
        dropOldestCrash();
    }
    return true;
}

void prompt_quarantine::dropOldestCrash()
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &left, const auto &right) {
        return left.second.evidence.at < right.second.evidence.at;
    });
    m_crashes.erase(oldest);
}

bool prompt_quarantine::addWritten(prompt_part part, time_point at, time_point now)
{
    const auto quarantined = m_quarantined.find(part);
    const bool isRelease = quarantined != m_quarantined.end() && at > quarantined->second.since;
    const bool isClearance = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        return at > entry.second.evidence.at && isSuspectOf(part, entry.second.evidence);
    });
    if (!isRelease && !isClearance) {
        return false;
    }
    written_record &written = m_written[part];
    written.at = at;
    written.changedAt = now;
    if (isRelease) {
        written.hasReleased = true;
        release(part);
    }
    return true;
}

void prompt_quarantine::quarantine(const quarantined_part &verdict, time_point now)
{
    const auto [found, isNew] = m_quarantined.try_emplace(verdict.part);
    found->second.since = verdict.since;
    found->second.failedTrials = verdict.failedTrials;
    found->second.crashes = verdict.crashes;
    found->second.changedAt = now;
    if (isNew && m_onChange) {
        m_onChange(verdict.part, true);
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
    const auto known = m_crashes.find(crash.server);
    if (!crash.sentAt.contains(part) || (known != m_crashes.end() && isRefuted(known->second))) {
        return false;
    }
    const auto written = m_written.find(part);
    return written == m_written.end() || written->second.at <= crash.at;
}

bool prompt_quarantine::isRefuted(const crash_record &crash) const
{
    return m_sightings.refutes(crash.evidence, crash.isOwn);
}

crash_judgement prompt_quarantine::judgement(time_point now) const
{
    std::vector<crash_judgement::known_crash> crashes;
    for (const auto &[server, record] : m_crashes) {
        const bool isSettled = isRefuted(record) || now - record.evidence.at >= settleTime;
        crashes.push_back({ &record.evidence, record.isOwn, isSettled });
    }
    return { std::move(crashes), [this](prompt_part part, const crash_evidence &crash) {
                return isSuspectOf(part, crash) && !isDoubtful(crash);
            } };
}

part_suspicion prompt_quarantine::suspicionOf(prompt_part part, time_point now) const
{
    part_set quarantined;
    for (const auto &[each, record] : m_quarantined) {
        quarantined.insert(each);
    }
    return judgement(now).suspicionOf(part, quarantined);
}

std::vector<prompt_quarantine::verdict_change> prompt_quarantine::verdictChanges(time_point now) const
{
    const crash_judgement judged = judgement(now);
    part_set beyondEvidence;
    for (const auto &[part, record] : m_quarantined) {
        if (!isDecidable({ part, record.since, record.failedTrials, record.crashes }, judged)) {
            beyondEvidence.insert(part);
        }
    }
    const auto verdicts = judged.verdicts(beyondEvidence);
    std::vector<verdict_change> changes;
    for (const auto &[part, record] : m_quarantined) {
        if (!beyondEvidence.contains(part) && !verdicts.contains(part)) {
            changes.push_back({ part, std::nullopt, 0 });
        }
    }
    for (const auto &[part, verdict] : verdicts) {
        if (!m_quarantined.contains(part)) {
            changes.push_back({ part, verdict.since, verdict.crashes });
        }
    }
    return changes;
}

// A hook may bring further evidence, by which a change in the list may be out of date.
void prompt_quarantine::judge(time_point now)
{
    for (auto changes = verdictChanges(now); !changes.empty(); changes = verdictChanges(now)) {
        const verdict_change &change = changes.front();
        if (!change.since) {
            release(change.part);
            continue;
        }
        if (m_quarantined.size() >= maxQuarantined) {
            return;
        }
        quarantine({ change.part, *change.since, 0, change.crashes }, now);
    }
}

void prompt_quarantine::judgeSettled(time_point now)
{
    bool hasSettled = false;
    for (auto &[server, record] : m_crashes) {
        if (!record.isSettled && now - record.evidence.at >= settleTime) {
            record.isSettled = true;
            hasSettled = true;
        }
    }
    if (hasSettled) {
        judge(now);
    }
}

bool prompt_quarantine::isDecidable(const quarantined_part &verdict, const crash_judgement &judged)
{
    return verdict.failedTrials == 0 && verdict.crashes > 0 && judged.settledCrashesInARow(verdict.part) >= verdict.crashes;
}

void prompt_quarantine::merge(const quarantine_news &news, time_point now)
{
    bool isNews = false;
    for (const observer_loss &each : news.losses) {
        isNews = m_losses.recordHeard(each, now) || isNews;
    }
    for (const server_sighting &each : news.sightings) {
        isNews = m_sightings.recordHeard(each, now) || isNews;
    }
    for (const written_part &each : news.written) {
        isNews = addWritten(each.part, each.at, now) || isNews;
    }
    for (const crash_evidence &each : news.crashes) {
        isNews = addEvidence(each, false, now) || isNews;
    }
    for (const quarantined_part &each : news.quarantined) {
        isNews = addVerdict(each, now) || isNews;
    }
    if (isNews) {
        judge(now);
    }
    judgeSettled(now);
}

bool prompt_quarantine::addVerdict(const quarantined_part &verdict, time_point now)
{
    const auto written = m_written.find(verdict.part);
    // Both times grow by the network's delay at each hop; compared to the millisecond, they would overtake each other for ever.
    if (written != m_written.end() && written->second.at + settleTime > verdict.since) {
        written->second.changedAt = now;
        return false;
    }
    const auto known = m_quarantined.find(verdict.part);
    if (known == m_quarantined.end()) {
        if (m_quarantined.size() >= maxQuarantined) {
            return false;
        }
        if (isDecidable(verdict, judgement(now))) {
            tellEvidenceAgain(verdict.part, now);
            return false;
        }
        quarantine(verdict, now);
        return true;
    }
    quarantine_record &record = known->second;
    if (verdict.failedTrials <= record.failedTrials && verdict.since <= record.since + sameMoment) {
        return false;
    }
    quarantine({ verdict.part, verdict.since, std::max(verdict.failedTrials, record.failedTrials), record.crashes }, now);
    return false;
}

// The other instance has not heard of all of it, or it would have come to the same verdict.
void prompt_quarantine::tellEvidenceAgain(prompt_part part, time_point now)
{
    for (auto &[server, record] : m_crashes) {
        if (!record.evidence.sentAt.contains(part)) {
            continue;
        }
        record.changedAt = now;
        m_sightings.tellAgain(server, now);
        for (const peer_address observer : record.evidence.observers) {
            m_losses.tellAgain(observer, now);
        }
    }
}

void prompt_quarantine::expire(time_point now)
{
    judgeSettled(now);
    m_sightings.expire(now);
    m_losses.expire(now);
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
