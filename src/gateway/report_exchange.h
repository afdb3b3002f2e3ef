#pragma once

#include "gateway/fleet_state.h"

#include <map>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// A report to be sent, and to whom.
struct outgoing_report {
    load_report report;
    std::vector<peer_address> targets;
};

/// Decides which reports an instance sends: all its work to the instances of its cell, the work at another cell's backend
/// servers to that cell, summaries between cells, and questions for instances that it does not know yet. What one instance
/// sends and receives is bounded by the size of a cell, not by that of the fleet.
class report_exchange
{
public:
    /// The sender's part of each report.
    struct identity {
        instance_id instance;
        data_centre_id dataCentre;
        peer_address address = 0;
        std::uint64_t incarnation = 0;
    };

    report_exchange(fleet_state &state, identity self, time_point now);

    /// Applies a report to the fleet state. Returns what to send because of it; nothing for a report that is out of date.
    struct reception {
        bool isNew = false;
        std::vector<outgoing_report> replies;
    };
    reception onReport(const load_report &report, time_point now);
    /// Returns the reports about a change of this instance's work.
    std::vector<outgoing_report> reportWork(time_point now);
    /// Returns what is due: reports to the own cell, summaries, questions for instances.
    std::vector<outgoing_report> reportsDue(time_point now);
    time_point nextDueAt() const;
    /// Returns the last report of an instance that stops.
    std::vector<outgoing_report> reportLeaving(time_point now);
    /// Returns a report to one instance only.
    load_report reportTo(peer_address target, time_point now);

    /// Interval of the reports to the own cell without a change; they make up for lost ones, and in a cell that spans data
    /// centres they show that none is cut off.
    static std::chrono::milliseconds reportInterval(const cell_id &cell, size_t cellSize);
    /// Interval between two summaries from one cell to another.
    static std::chrono::milliseconds summaryInterval(size_t cells);

    static constexpr std::chrono::milliseconds firstQuestionDelay{ 300 }; ///< Doubles up to `maxQuestionDelay`.
    static constexpr std::chrono::milliseconds maxQuestionDelay{ 5'000 };
    static constexpr std::chrono::milliseconds instanceListInterval{
        1'000
    }; ///< Between summaries that list the instances without a change.
    static constexpr std::chrono::milliseconds summaryIntervalWithForeignWork{
        60
    }; ///< While another cell has work here, it places more by the summary.
    /// Between two reports while a prompt waits here: two fit into the life of its entry at the others.
    static constexpr std::chrono::milliseconds waitingReportInterval{ 280 };
    static constexpr size_t speakersPerCell = 2; ///< That send the summaries for one other cell; the loss of one halves their rate.
    static constexpr size_t maxSummaryServers = 32; ///< Of one service; more than the parts of the longest prompt.

private:
    std::vector<outgoing_report> reportsDueNow(time_point now);
    load_report newReport(time_point now);
    load_report reportFor(const cell_id &cell, time_point now);
    std::vector<server_work> workAt(const cell_id &cell) const;
    cell_id cellOfServer(server_key server) const;
    void addCellReport(std::vector<outgoing_report> &out, std::vector<peer_address> targets, time_point now);
    bool areCopiesEnabled() const;
    void addSecondCopies(std::vector<outgoing_report> &out, time_point now);
    void addReportsToOtherCells(std::vector<outgoing_report> &out, time_point now);
    void addSummaries(std::vector<outgoing_report> &out, time_point now);
    void addQuestions(std::vector<outgoing_report> &out, time_point now);
    std::chrono::milliseconds timeToNextSummary() const;
    time_point nextCellReportAt() const;
    bool speaksTo(const cell_id &cell, time_point now) const;
    std::optional<peer_address> nextListener(const cell_id &cell, time_point now);
    cell_summary summaryFor(const cell_id &cell, time_point now) const;

    fleet_state &m_state;
    identity m_self;
    std::uint32_t m_sequence = 0;
    time_point m_nextReportAt;
    time_point m_lastCellReportAt{};
    time_point m_nextLatencyCountsAt{};
    time_point m_nextSummaryAt;
    time_point m_nextQuestionAt;
    time_point m_nextInstanceListAt;
    std::vector<peer_address> m_listedInstances; ///< In the last summaries that listed instances.
    std::chrono::milliseconds m_questionDelay = firstQuestionDelay;
    std::set<cell_id> m_cellsWithWork; ///< Other cells that were last told of work at their servers.
    size_t m_listener = 0; ///< Counts the summaries sent, so that each goes to another instance.
};

} // namespace mustardtrail::gateway
