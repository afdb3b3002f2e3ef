#include "gateway/internal/crash_judgement.h"

#include <algorithm>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds reportDelay{ 20 }; // By which the times of others are late, one more than another.
constexpr milliseconds commonCauseSpan{ 50 }; // Servers that one event ends, as a loss of power, are seen to end within it.

} // namespace

crash_judgement::crash_judgement(std::vector<known_crash> crashes, const suspect_check &isSuspect)
    : m_crashes(std::move(crashes))
    , m_suspects(m_crashes.size())
{
    std::sort(m_crashes.begin(), m_crashes.end(), [](const known_crash &left, const known_crash &right) {
        return std::tie(left.evidence->at, left.evidence->server) < std::tie(right.evidence->at, right.evidence->server);
    });
    for (size_t index = 0; index < m_crashes.size(); ++index) {
        const crash_evidence &crash = *m_crashes[index].evidence;
        m_unsettled[index] = !m_crashes[index].isSettled;
        for (const auto &[part, sentAt] : crash.sentAt) {
            const auto [found, isNew] = m_index.try_emplace(part, m_traces.size());
            if (isNew) {
                m_traces.push_back({ part, {}, {}, 0, false });
            }
            part_trace &trace = m_traces[found->second];
            trace.present.set(index);
            trace.suspected[index] = isSuspect(part, crash);
            if (const auto position = crash.positions.find(part); position != crash.positions.end()) {
                trace.position = std::max(trace.position, position->second);
            }
            trace.isAnsweredBefore = trace.isAnsweredBefore || crash.answeredBefore.contains(part);
            m_suspects[index].push_back({ found->second, sentAt });
        }
    }
    for (auto &suspects : m_suspects) {
        std::sort(suspects.begin(), suspects.end(), [this](const suspect &left, const suspect &right) {
            return isLikelier(m_traces[left.trace], m_traces[right.trace]);
        });
    }
}

// A guilty part ends each server, so one that was answered a moment before is rarely it. Of the others the narrowest goes first: all
// prompts with it hold the parts before it too, and if it is sound, crashes go on under the wider one, which is then convicted.
bool crash_judgement::isLikelier(const part_trace &left, const part_trace &right)
{
    const auto rank = [](const part_trace &trace) {
        return std::tuple(!isOwnPart(trace.part), trace.isAnsweredBefore, ~trace.position, trace.part);
    };
    return rank(left) < rank(right);
}

void crash_judgement::crash_row::add(prompt_part part, const known_crash &crash, time_point sentAt)
{
    const milliseconds uncertainty = crash.isOwn ? milliseconds(0) : reportDelay;
    const bool isSentAfterLast = count == 0 || sentAt > last + uncertainty;
    // Copies of one request are rarely in flight together, so what ends their servers one by one is most likely the request.
    const bool endsApart = count > 0 && isOwnPart(part) && crash.evidence->at > last + commonCauseSpan + uncertainty;
    if (isSentAfterLast || endsApart) {
        ++count;
        last = crash.evidence->at;
    }
}

std::map<prompt_part, crash_judgement::guilt_verdict> crash_judgement::verdicts(const part_set &convicted) const
{
    std::map<prompt_part, guilt_verdict> verdicts;
    crash_set explained = explainedBy(convicted);
    crash_set heard;
    std::vector<crash_row> rows(m_traces.size());
    for (size_t index = 0; index < m_crashes.size(); ++index) {
        heard.set(index);
        for (const suspect &each : m_suspects[index]) {
            const part_trace &trace = m_traces[each.trace];
            if (explained[index] || !trace.suspected[index] || convicted.contains(trace.part)) {
                continue;
            }
            crash_row &row = rows[each.trace];
            row.add(trace.part, m_crashes[index], each.sentAt);
            const crash_set crashes = trace.suspected & heard & ~explained;
            if (row.count < prompt_quarantine::crashesRequired
                || (row.count < prompt_quarantine::ambiguousCrashesRequired && hasOtherExplanation(trace, crashes))) {
                continue;
            }
            if (mayAnotherBeLikelier(crashes, each.trace, rows)) {
                continue;
            }
            const size_t guilty = likeliestFor(crashes, each.trace, rows);
            verdicts[m_traces[guilty].part].crashes = rows[guilty].count;
            const crash_set newlyExplained = m_traces[guilty].present;
            explained |= newlyExplained;
            for (size_t other = 0; other < rows.size(); ++other) {
                if ((m_traces[other].suspected & newlyExplained).any()) {
                    rows[other] = rowOf(m_traces[other], m_traces[other].suspected & heard & ~explained);
                }
            }
        }
    }
    for (auto &[part, verdict] : verdicts) {
        verdict.since = latestOf(find(part)->suspected);
    }
    return verdicts;
}

unsigned crash_judgement::settledCrashesInARow(prompt_part part) const
{
    const part_trace *trace = find(part);
    return trace != nullptr ? rowOf(*trace, trace->present & ~m_unsettled).count : 0;
}

part_suspicion crash_judgement::suspicionOf(prompt_part part, const part_set &convicted) const
{
    const part_trace *trace = find(part);
    if (trace == nullptr) {
        return {};
    }
    part_set others = convicted;
    const bool isConvicted = others.erase(part) > 0;
    const crash_set crashes = trace->suspected & ~explainedBy(others);
    return { rowOf(*trace, crashes).count, crashes.any() && hasOtherExplanation(*trace, crashes), isConvicted };
}

crash_judgement::crash_set crash_judgement::explainedBy(const part_set &convicted) const
{
    crash_set explained;
    for (const prompt_part part : convicted) {
        if (const part_trace *trace = find(part)) {
            explained |= trace->present;
        }
    }
    return explained;
}

crash_judgement::crash_row crash_judgement::rowOf(const part_trace &trace, const crash_set &crashes) const
{
    crash_row row;
    for (size_t index = 0; index < m_crashes.size(); ++index) {
        if (crashes[index]) {
            row.add(trace.part, m_crashes[index], m_crashes[index].evidence->sentAt.at(trace.part));
        }
    }
    return row;
}

// Requests with one of two parts may have been sent a moment later than those with the other, so that more crashes count for it.
size_t crash_judgement::likeliestFor(const crash_set &crashes, size_t trace, const std::vector<crash_row> &rows) const
{
    const auto &suspects = m_suspects[firstOf(crashes)]; // The likeliest first.
    const auto found = std::find_if(suspects.begin(), suspects.end(), [&](const suspect &each) {
        return each.trace == trace
            || (rows[each.trace].count >= prompt_quarantine::crashesRequired && (crashes & ~m_traces[each.trace].suspected).none());
    });
    return found != suspects.end() ? found->trace : trace;
}

bool crash_judgement::mayAnotherBeLikelier(const crash_set &crashes, size_t trace, const std::vector<crash_row> &rows) const
{
    for (const suspect &each : m_suspects[firstOf(crashes)]) { // The likeliest first.
        if (each.trace == trace) {
            return false;
        }
        const crash_set missing = crashes & ~m_traces[each.trace].suspected;
        if (rows[each.trace].count >= prompt_quarantine::crashesRequired && missing.any() && (missing & ~m_unsettled).none()) {
            return true;
        }
    }
    return false;
}

size_t crash_judgement::firstOf(const crash_set &crashes)
{
    size_t first = 0;
    while (!crashes[first]) {
        ++first;
    }
    return first;
}

time_point crash_judgement::latestOf(const crash_set &crashes) const
{
    time_point latest{};
    for (size_t index = 0; index < m_crashes.size(); ++index) {
        latest = crashes[index] ? m_crashes[index].evidence->at : latest;
    }
    return latest;
}

bool crash_judgement::hasOtherExplanation(const part_trace &trace, const crash_set &crashes) const
{
    const auto &suspects = m_suspects[firstOf(crashes)];
    return std::any_of(suspects.begin(), suspects.end(), [&](const suspect &each) {
        const part_trace &other = m_traces[each.trace];
        // Of a prompt's own part and a shared one beside it, the own one is the narrower explanation: fewer prompts are held back.
        const bool isWider = isOwnPart(trace.part) && !isOwnPart(other.part);
        return other.part != trace.part && !isWider && (crashes & ~m_unsettled & ~other.suspected).none();
    });
}

const crash_judgement::part_trace *crash_judgement::find(prompt_part part) const
{
    const auto found = m_index.find(part);
    return found != m_index.end() ? &m_traces[found->second] : nullptr;
}

} // namespace mustardtrail::gateway
