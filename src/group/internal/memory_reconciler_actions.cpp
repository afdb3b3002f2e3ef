#include "group/memory_reconciler.h"

#include "group/internal/engine_pass.h"

#include <algorithm>
#include <set>

namespace mustardtrail::group
{

namespace
{

std::chrono::milliseconds longestTarget(const config::configuration &config)
{
    std::chrono::milliseconds longest{ 0 };
    for (const auto &[id, workClass] : config.classes) {
        longest = std::max(longest, workClass.totalTarget);
    }
    return longest;
}

} // namespace

void memory_reconciler::noteLosses(engine_pass &pass) const
{
    const placement::engine_report &report = pass.holdings.report;
    std::set<attempt_id> listed;
    for (const placement::reported_stream &stream : report.streams) {
        listed.insert(stream.attempt);
    }
    const bool restarted = pass.record.incarnation != 0 && pass.record.incarnation != report.incarnation;
    for (const auto &[attempt, sentAt] : pass.streams) {
        const bool dueInReport = sentAt + m_options.lostGrace < report.takenAt;
        const bool sentBeforeRestart = restarted && sentAt <= pass.record.takenAt;
        if ((dueInReport || sentBeforeRestart) && !listed.contains(attempt)) {
            pass.actions.emplace_back(stream_lost{ report.backend, attempt });
        }
    }
}

bool memory_reconciler::mayAct(const engine_pass &pass) const
{
    const auto found = pass.view.backends.find(pass.holdings.report.backend);
    if (found == pass.view.backends.end() || found->second.owner != pass.view.self) {
        return false;
    }
    if (pass.view.config == nullptr) {
        return false;
    }
    if (m_options.requireConfirmedView && (!pass.view.isConfirmed(pass.now) || pass.view.isolated)) {
        return false;
    }
    if (m_options.respectNewerOwner && pass.holdings.report.highestFencingNumber > found->second.fencingNumber) {
        return false;
    }
    return pass.now - found->second.ownedSince >= m_options.orphanGrace;
}

void memory_reconciler::cancelStreams(engine_pass &pass) const
{
    const placement::engine_report &report = pass.holdings.report;
    const std::uint64_t own = pass.view.backends.at(report.backend).fencingNumber;
    for (const placement::reported_stream &stream : report.streams) {
        const auto unknown = pass.record.streams.find(stream.attempt);
        if (unknown == pass.record.streams.end() || (m_options.respectNewerOwner && stream.fencingNumber > own)) {
            continue;
        }
        // The owner before may still relay its streams; none of them outlives the longest target.
        const bool ownStream = stream.fencingNumber == own;
        const auto grace = m_options.orphanGrace + (ownStream ? std::chrono::milliseconds(0) : longestTarget(*pass.view.config));
        if (report.takenAt - unknown->second.since >= grace) {
            const time_point notAfter = pass.view.confirmedAt + membership::viewLease;
            pass.actions.emplace_back(cancel_orphan_stream{ report.backend, stream.attempt, own, notAfter });
        }
    }
}

void memory_reconciler::releaseGroups(engine_pass &pass) const
{
    const std::uint64_t own = pass.view.backends.at(pass.holdings.report.backend).fencingNumber;
    for (const auto &[group, seen] : pass.record.groups) {
        if (pass.now - seen.since >= m_options.orphanGrace) {
            const time_point notAfter = pass.view.confirmedAt + membership::viewLease;
            pass.actions.emplace_back(release_orphan_group{ pass.holdings.report.backend, group, own, notAfter });
        }
    }
}

} // namespace mustardtrail::group
