#include "gateway/report_exchange.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds minReportInterval{ 300 };
constexpr milliseconds maxReportInterval{ 900 }; ///< Three fit into the time after which an instance counts as unresponsive.
constexpr milliseconds maxReportIntervalAcross{ 450 }; ///< Two fit into the time after which a silent data centre is suspected.
constexpr milliseconds reportIntervalPerInstance{ 15 };
constexpr milliseconds minSummaryInterval{ 250 }; ///< About one batch step of an engine.
constexpr milliseconds summaryIntervalPerCell{ 60 };
constexpr milliseconds urgentNewsAge{ 100 }; ///< What each report tells; the periodic ones repeat it for longer.

std::string nameOf(const cell_id &cell)
{
    return cell.dataCentre.str() + '/' + std::to_string(cell.index);
}

} // namespace

milliseconds report_exchange::reportInterval(const cell_id &cell, size_t cellSize)
{
    const milliseconds longest = cell.dataCentre.empty() ? maxReportIntervalAcross : maxReportInterval;
    return std::clamp(reportIntervalPerInstance * static_cast<int>(cellSize), minReportInterval, longest);
}

milliseconds report_exchange::summaryInterval(size_t cells)
{
    return std::max(summaryIntervalPerCell * static_cast<int>(cells), minSummaryInterval);
}

report_exchange::report_exchange(fleet_state &state, identity self, time_point now)
    : m_state(state)
    , m_self(std::move(self))
    , m_nextReportAt(now)
    , m_nextSummaryAt(now)
    , m_nextQuestionAt(now)
    , m_nextInstanceListAt(now)
{
}

cell_id report_exchange::cellOfServer(server_key server) const
{
    const auto *known = m_state.findServer(server);
    return known ? m_state.peers.cells().cellOfServer(server, known->entry.dataCentre) : m_state.peers.ownCell();
}

std::vector<server_work> report_exchange::workAt(const cell_id &cell) const
{
    std::vector<server_work> work;
    for (const server_work &each : m_state.loads.ownWork()) {
        if (cellOfServer(each.server) == cell) {
            work.push_back(each);
        }
    }
    return work;
}

load_report report_exchange::newReport(time_point now)
{
    load_report report;
    report.sender = m_self.instance;
    report.dataCentre = m_self.dataCentre;
    report.address = m_self.address;
    report.incarnation = m_self.incarnation;
    report.sequence = ++m_sequence;
    report.configVersion = m_state.configVersion();
    report.clock = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    return report;
}

load_report report_exchange::reportFor(const cell_id &cell, time_point now)
{
    load_report report = newReport(now);
    if (cell == m_state.peers.ownCell()) {
        report.waitingPrompts = m_state.waiting.ownForReport(now);
        if (areCopiesEnabled() && m_state.secondCopies.account.hasNews(now)) {
            report.secondCopyUse = m_state.secondCopies.account.ownForReport(now);
        }
    }
    report.work = cell == m_state.peers.ownCell() ? m_state.loads.ownWork() : workAt(cell);
    report.hasLostServerPaths = m_state.paths.hasLostPaths();
    if (!m_state.paths.areAllLost()) {
        report.suspectedServers = m_state.serverSuspicion.ownSuspects(now);
        report.slowServers = m_state.speeds.news(now);
    }
    report.leavingServers = m_state.leavingServers(now);
    report.quarantine = m_state.quarantine.news(urgentNewsAge, now);
    report.rateLimits = m_state.rateLimits.news(now);
    return report;
}

load_report report_exchange::reportTo(peer_address target, time_point now)
{
    return reportFor(m_state.peers.cellOf(target), now);
}

report_exchange::reception report_exchange::onReport(const load_report &report, time_point now)
{
    reception received;
    received.isNew = m_state.peers.recordReport(report, now);
    if (!received.isNew) {
        return received;
    }
    m_state.serverSuspicion.updatePeerSuspects(report.sender, report.suspectedServers, now);
    m_state.loads.replacePeerWork(report.address, report.work, now);
    const auto isKnownService = [this](service_key service) {
        return m_state.routes && m_state.routes->isService(service);
    };
    m_state.waiting.replaceReported(
        report.address, report.isLeaving ? std::vector<waiting_prompt>() : report.waitingPrompts, isKnownService, now);
    m_state.peers.addInstances(report.instances, now);
    m_state.recordLeavingServers(report.leavingServers, report.sender, now);
    m_state.recordDepartedServers(report.departedServers, report.sender, now);
    m_state.quarantine.merge(report.quarantine, now);
    m_state.recordRateLimits(report.address, report.rateLimits);
    m_state.recordCustomerUse(report.address, report.sender, report.customerUse, now);
    m_state.recordSlowServers(report.address, report.slowServers, now);
    m_state.recordSecondCopyUse(report.address, report.sender, report.incarnation, report.secondCopyUse, now);
    m_state.recordLatencyCounts(report.address, report.sender, report.latencyCounts, now);
    m_state.recordSecondSendLoans(report.address, report.sender, m_self.incarnation, report.secondSendLoans, now);
    auto loans = m_state.lendSecondSends(report.secondSendAsks, report.incarnation, report.sender, now);
    if (!loans.empty()) {
        load_report answer = reportTo(report.address, now);
        answer.secondSendLoans = std::move(loans);
        received.replies.push_back({ std::move(answer), { report.address } });
    }
    std::vector<cell_summary> passedOn;
    for (const cell_summary &summary : report.summaries) {
        m_state.peers.recordSignOfLife(summary.cell.dataCentre, summary.measuredAt);
        if (summary.instances) {
            m_state.peers.recordCellInstances(summary.cell.dataCentre, *summary.instances, now);
        }
        const bool isNew = summary.cell != m_state.peers.ownCell() && m_state.summaries.record(summary);
        if (isNew && !report.areSummariesRelayed) {
            passedOn.push_back(summary);
        }
    }
    if (!passedOn.empty()) {
        load_report relayed = reportFor(m_state.peers.ownCell(), now);
        relayed.summaries = std::move(passedOn);
        relayed.areSummariesRelayed = true;
        received.replies.push_back({ std::move(relayed), m_state.peers.reportTargets(m_state.peers.ownCell(), now) });
    }
    if (report.wantsInstances) {
        load_report answer = reportTo(report.address, now);
        answer.instances = m_state.peers.alive(now);
        received.replies.push_back({ std::move(answer), { report.address } });
    }
    return received;
}

void report_exchange::addCellReport(std::vector<outgoing_report> &out, std::vector<peer_address> targets, time_point now)
{
    m_lastCellReportAt = now;
    if (!targets.empty()) {
        load_report report = reportFor(m_state.peers.ownCell(), now);
        report.secondSendAsks = m_state.resends.borrowed().takeAsks(targets.size(), now);
        out.push_back({ std::move(report), std::move(targets) });
    }
}

bool report_exchange::areCopiesEnabled() const
{
    return m_state.secondCopies.limit > 0.0;
}

// To the report to the own cell that was just added, if it has receivers.
void report_exchange::addSecondCopies(std::vector<outgoing_report> &out, time_point now)
{
    if (!areCopiesEnabled() || out.empty()) {
        return;
    }
    load_report &report = out.back().report;
    report.secondCopyUse = m_state.secondCopies.account.ownForReport(now);
    if (now >= m_nextLatencyCountsAt) {
        report.latencyCounts = m_state.secondCopies.latencies.ownForReport(now);
        m_nextLatencyCountsAt = now + latency_quantiles::reportInterval;
    }
}

void report_exchange::addReportsToOtherCells(std::vector<outgoing_report> &out, time_point now)
{
    std::set<cell_id> withWork;
    const cell_id own = m_state.peers.ownCell();
    for (const server_work &each : m_state.loads.ownWork()) {
        if (const cell_id cell = cellOfServer(each.server); cell != own) {
            withWork.insert(cell);
        }
    }
    std::set<cell_id> told = withWork;
    told.insert(m_cellsWithWork.begin(), m_cellsWithWork.end());
    for (const cell_id &cell : told) {
        auto targets = m_state.peers.reportTargets(cell, now);
        if (cell != own && !targets.empty()) {
            out.push_back({ reportFor(cell, now), std::move(targets) });
        }
    }
    m_cellsWithWork = std::move(withWork);
}

std::vector<outgoing_report> report_exchange::reportWork(time_point now)
{
    std::vector<outgoing_report> out;
    addCellReport(out, m_state.peers.reportTargets(m_state.peers.ownCell(), now), now);
    addReportsToOtherCells(out, now);
    return out;
}

std::vector<outgoing_report> report_exchange::reportLeaving(time_point now)
{
    std::vector<outgoing_report> out;
    addCellReport(out, m_state.peers.registered(m_state.peers.ownCell()), now);
    for (outgoing_report &each : out) {
        each.report.isLeaving = true;
    }
    return out;
}

// The speakers of a cell differ for each other cell, so that the duty is spread over the instances.
bool report_exchange::speaksTo(const cell_id &cell, time_point now) const
{
    const auto weightOf = [&](peer_address instance) {
        return rendezvousWeight(nameOf(cell), std::to_string(instance));
    };
    const std::uint64_t own = weightOf(m_self.address);
    size_t before = 0;
    for (const peer_address instance : m_state.peers.registered(m_state.peers.ownCell())) {
        before += m_state.peers.isAlive(instance, now) && weightOf(instance) > own ? 1 : 0;
    }
    return before < speakersPerCell;
}

// Each summary goes to another instance, so that an unresponsive one costs one summary.
std::optional<peer_address> report_exchange::nextListener(const cell_id &cell, time_point now)
{
    auto listeners = m_state.peers.reportTargets(cell, now);
    if (listeners.empty()) {
        listeners = m_state.peers.registered(cell);
    }
    if (listeners.empty()) {
        return std::nullopt;
    }
    return listeners[(m_self.address + ++m_listener) % listeners.size()];
}

cell_summary report_exchange::summaryFor(const cell_id &cell, time_point now) const
{
    cell_summary summary;
    summary.cell = m_state.peers.ownCell();
    summary.measuredAt = now;
    const auto isOfOtherCell = [&](peer_address instance) {
        return m_state.peers.cellOf(instance) != cell;
    };
    const auto loads = m_state.loads.loadsOf(isOfOtherCell, now);
    for (const service_id &service : m_state.servers.services()) {
        std::vector<server_summary> servers;
        for (const auto *server : m_state.servers.usable(service, now)) {
            const server_key key = keyOf(server->entry.id);
            if (cellOfServer(key) != summary.cell || m_state.serverSuspicion.isSuspected(key, now)) {
                continue;
            }
            const auto load = loads.find(key);
            servers.push_back({ key, load == loads.end() ? server_load() : load->second });
        }
        std::sort(servers.begin(), servers.end(), [](const server_summary &left, const server_summary &right) {
            return std::tuple(left.load.pendingPrefill, left.load.requests) < std::tuple(right.load.pendingPrefill, right.load.requests);
        });
        servers.resize(std::min(servers.size(), maxSummaryServers));
        summary.servers.insert(summary.servers.end(), servers.begin(), servers.end());
    }
    return summary;
}

void report_exchange::addSummaries(std::vector<outgoing_report> &out, time_point now)
{
    const cell_id own = m_state.peers.ownCell();
    std::vector<peer_address> alive{ m_self.address };
    for (const peer_address instance : m_state.peers.registered(own)) {
        if (m_state.peers.isAlive(instance, now)) {
            alive.push_back(instance);
        }
    }
    const bool listsInstances = now >= m_nextInstanceListAt || alive != m_listedInstances;
    for (const auto &[cell, members] : m_state.peers.cells().cells()) {
        if (cell == own || !speaksTo(cell, now)) {
            continue;
        }
        const auto listener = nextListener(cell, now);
        if (!listener) {
            continue;
        }
        outgoing_report summary{ reportFor(cell, now), { *listener } };
        summary.report.summaries.push_back(summaryFor(cell, now));
        if (listsInstances) {
            summary.report.summaries.back().instances = alive;
        }
        out.push_back(std::move(summary));
    }
    if (listsInstances) {
        m_nextInstanceListAt = now + instanceListInterval;
        m_listedInstances = std::move(alive);
    }
}

milliseconds report_exchange::timeToNextSummary() const
{
    const auto isOfOtherCell = [&](peer_address instance) {
        return m_state.peers.cellOf(instance) != m_state.peers.ownCell();
    };
    const bool hasForeignWork = m_state.loads.hasWorkOf(isOfOtherCell);
    const milliseconds usual = summaryInterval(m_state.peers.cells().cells().size() - 1);
    return (hasForeignWork ? summaryIntervalWithForeignWork : usual) * static_cast<int>(speakersPerCell);
}

void report_exchange::addQuestions(std::vector<outgoing_report> &out, time_point now)
{
    std::vector<peer_address> asked = m_state.peers.silentSeeds(now);
    const auto neighbours = m_state.peers.reportTargets(m_state.peers.ownCell(), now);
    if (!neighbours.empty()) {
        asked.push_back(neighbours[(m_self.address + m_sequence) % neighbours.size()]);
    }
    for (const peer_address target : asked) {
        outgoing_report question{ reportTo(target, now), { target } };
        question.report.wantsInstances = true;
        out.push_back(std::move(question));
    }
}

std::vector<outgoing_report> report_exchange::reportsDue(time_point now)
{
    std::vector<outgoing_report> out = reportsDueNow(now);
    for (outgoing_report &each : out) {
        each.report.quarantine = m_state.quarantine.news(prompt_quarantine::newsMaxAge, now);
        each.report.departedServers = m_state.departedServers(now);
        each.report.customerUse = m_state.reportedCustomerUse(now);
    }
    return out;
}

std::vector<outgoing_report> report_exchange::reportsDueNow(time_point now)
{
    std::vector<outgoing_report> out;
    const cell_id own = m_state.peers.ownCell();
    if (now >= nextCellReportAt()) {
        addCellReport(out, m_state.peers.registered(own), now);
        addSecondCopies(out, now);
        addReportsToOtherCells(out, now);
        m_nextReportAt = now + reportInterval(own, m_state.peers.cells().members(own).size());
    }
    if (now >= m_nextSummaryAt) {
        addSummaries(out, now);
        m_nextSummaryAt = now + timeToNextSummary();
    }
    if (now >= m_nextQuestionAt) {
        addQuestions(out, now);
        m_nextQuestionAt = now + m_questionDelay;
        m_questionDelay = std::min(2 * m_questionDelay, maxQuestionDelay);
    }
    return out;
}

time_point report_exchange::nextCellReportAt() const
{
    const bool hasWaiting = m_state.waiting.ownCount() > 0;
    return hasWaiting ? std::min(m_nextReportAt, m_lastCellReportAt + waitingReportInterval) : m_nextReportAt;
}

time_point report_exchange::nextDueAt() const
{
    return std::min({ nextCellReportAt(), m_nextSummaryAt, m_nextQuestionAt });
}

} // namespace mustardtrail::gateway
