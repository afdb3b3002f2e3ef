#include "group/memory_reconciler.h"

#include "group/internal/engine_pass.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::group
{

memory_reconciler::memory_reconciler(reconcile_options options, known_group_hook knownGroup)
    : m_options(options)
    , m_knownGroup(std::move(knownGroup))
{
}

reconcile_actions memory_reconciler::onHoldings(
    const engine_holdings &holdings, const known_streams &streams, const membership::fleet_view &view, time_point now)
{
    engine_record &record = m_engines[holdings.report.backend];
    engine_pass pass{ holdings, streams, view, now, record, {} };
    if (record.takenAt > holdings.report.takenAt) {
        return {};
    }
    record.accounting = {};
    record.accounting.memoryTokens = holdings.report.memoryTokens;
    record.accounting.usedTokens = holdings.report.usedTokens;
    noteStreams(pass);
    noteGroups(pass);
    const token_count listed = record.accounting.knownTokens + record.accounting.unknownTokens;
    record.accounting.unlistedTokens = std::max<token_count>(record.accounting.usedTokens - listed, 0);
    noteLosses(pass);
    if (mayAct(pass)) {
        cancelStreams(pass);
        releaseGroups(pass);
    }
    record.incarnation = holdings.report.incarnation;
    record.takenAt = holdings.report.takenAt;
    return std::move(pass.actions);
}

void memory_reconciler::forget(const backend_server_id &backend)
{
    m_engines.erase(backend);
}

void memory_reconciler::noteStreams(engine_pass &pass) const
{
    std::map<attempt_id, sighting> unknown;
    for (const placement::reported_stream &stream : pass.holdings.report.streams) {
        if (pass.streams.contains(stream.attempt)) {
            pass.record.accounting.knownTokens += stream.heldTokens;
            continue;
        }
        pass.record.accounting.unknownTokens += stream.heldTokens;
        const auto before = pass.record.streams.find(stream.attempt);
        const time_point since = before == pass.record.streams.end() ? pass.holdings.report.takenAt : before->second.since;
        unknown[stream.attempt] = { since, {}, stream.heldTokens };
    }
    pass.record.streams = std::move(unknown);
}

void memory_reconciler::noteGroups(engine_pass &pass) const
{
    std::map<engine_group_id, sighting> unknown;
    pass.record.listedGroupTokens = 0;
    for (const reported_group &group : pass.holdings.groups) {
        pass.record.listedGroupTokens += group.heldTokens;
        if (m_knownGroup(pass.holdings.report.backend, group.group)) {
            pass.record.accounting.knownTokens += group.heldTokens;
            continue;
        }
        pass.record.accounting.unknownTokens += group.heldTokens;
        const auto before = pass.record.groups.find(group.group);
        // A lease that grew has been renewed: the group lives, under an owner that this view does not show.
        const bool renewed = before == pass.record.groups.end() || group.leaseLeft > before->second.leaseLeft;
        unknown[group.group] = { renewed ? pass.now : before->second.since, group.leaseLeft, group.heldTokens };
    }
    pass.record.groups = std::move(unknown);
}

void memory_reconciler::released(const backend_server_id &backend, const engine_group_id &group)
{
    const auto found = m_engines.find(backend);
    if (found != m_engines.end()) {
        found->second.groups.erase(group);
    }
}

std::optional<engine_accounting> memory_reconciler::accounting(const backend_server_id &backend) const
{
    const auto found = m_engines.find(backend);
    return found == m_engines.end() ? std::nullopt : std::optional(found->second.accounting);
}

std::optional<token_count> memory_reconciler::freeApartFrom(const backend_server_id &backend, const engine_group_id &group) const
{
    const auto found = m_engines.find(backend);
    if (found == m_engines.end()) {
        return std::nullopt;
    }
    const engine_record &record = found->second;
    token_count free = record.accounting.memoryTokens - std::max<token_count>(record.accounting.usedTokens - record.listedGroupTokens, 0);
    for (const auto &[id, seen] : record.groups) {
        free -= id == group ? 0 : seen.heldTokens;
    }
    return std::max<token_count>(free, 0);
}

boost::json::value memory_reconciler::dump(time_point now) const
{
    const auto milliseconds = [](auto span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    boost::json::array rows;
    for (const auto &[backend, record] : m_engines) {
        rows.emplace_back(boost::json::object{
            { "backend_server", backend.str() },
            { "report_age_ms", milliseconds(now - record.takenAt) },
            { "memory_tokens", record.accounting.memoryTokens },
            { "used_tokens", record.accounting.usedTokens },
            { "known_tokens", record.accounting.knownTokens },
            { "unknown_tokens", record.accounting.unknownTokens },
            { "unlisted_tokens", record.accounting.unlistedTokens },
            { "unknown_streams", record.streams.size() },
            { "unknown_groups", record.groups.size() },
        });
    }
    return rows;
}

} // namespace mustardtrail::group
