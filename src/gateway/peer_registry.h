#pragma once

#include "base/clock.h"
#include "gateway/cell_map.h"
#include "gateway/load_report.h"
#include "gateway/relay_choice.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// The other instances of the fleet, known from their own reports, from the summaries of other cells and from lists that
/// instances ask for. An unresponsive instance stays registered for `peerRetention`, as it may only be cut off.
class peer_registry
{
public:
    peer_registry(peer_address self, data_centre_id ownDataCentre);

    /// Adds the addresses from the settings. They stay registered even if they never send a report.
    void addSeeds(const std::vector<peer_address> &seeds);
    /// Returns false when the report is not newer than the last one of its sender, or was sent by this instance.
    bool recordReport(const load_report &report, time_point now);
    /// Records the instances that a cell's summary lists: some instance of that cell received reports from them.
    void recordCellInstances(const data_centre_id &dataCentre, const std::vector<peer_address> &instances, time_point now);
    /// Adds instances that another one knows. For those already registered this is no sign of life, as the other may have
    /// heard of them long ago.
    void addInstances(const instance_list &instances, time_point now);
    /// Records that a data centre is not cut off.
    void recordSignOfLife(const data_centre_id &dataCentre, time_point now);
    void expire(time_point now);

    const cell_map &cells() const;
    cell_id ownCell() const;
    /// Returns the cell of a registered instance.
    cell_id cellOf(peer_address instance) const;
    /// Returns the other instances of the cell that may receive a report: not those known to be unresponsive.
    std::vector<peer_address> reportTargets(const cell_id &cell, time_point now) const;
    /// Returns the other instances of the cell, with the unresponsive ones.
    std::vector<peer_address> registered(const cell_id &cell) const;
    /// Returns the live instances that this one has heard itself or that a summary listed, and this one.
    instance_list alive(time_point now) const;
    /// Returns the seeds and instances of unknown data centres that have shown no sign of life lately.
    std::vector<peer_address> silentSeeds(time_point now) const;
    bool isAlive(peer_address instance, time_point now) const;
    /// Returns the data centres that have shown no sign of life for `dataCentreTimeout`, though they did within
    /// `maxDataCentreSuspicion`. They are probably cut off: their backend servers would accept a request and never answer.
    std::set<data_centre_id> unresponsiveDataCentres(time_point now) const;
    /// Returns the instances of the own cell and data centre that sent a report within `peerTimeout`.
    std::vector<peer_address> storeRelayTargets(time_point now) const;
    /// Returns the timestamps of the last reports of `storeRelayTargets`.
    std::vector<clock_echo> storeRelayClocks(time_point now) const;
    /// Returns the live instances through which a request may be sent to a backend server, without those of data centres that are
    /// probably cut off.
    std::vector<relay_candidate> relayCandidates(time_point now) const;
    /// Returns the newest configuration version that an instance reported within `peerTimeout`.
    std::uint64_t newestConfig(time_point now) const;
    /// Returns the largest number of instances known at one time since the start, this one included. Fleet-wide limits are
    /// divided by it, so that an instance that is cut off from the others does not use their share.
    size_t largestFleetSize() const;

    static constexpr std::chrono::milliseconds peerTimeout{ 3'000 }; ///< Several report intervals.
    static constexpr std::chrono::milliseconds listedTimeout{ 4'000 }; ///< A few of the summaries that list instances.
    static constexpr std::chrono::milliseconds dataCentreTimeout{ 1'000 }; ///< Three missed reports of each instance there.
    static constexpr std::chrono::milliseconds maxDataCentreSuspicion{
        15'000
    }; ///< After this the instances there have more likely been stopped.
    static constexpr std::chrono::milliseconds peerRetention{ 60'000 }; ///< Longer than most partitions of a data centre.

private:
    struct peer {
        data_centre_id dataCentre; ///< Empty for a seed that has not been heard of.
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        std::optional<time_point> lastReportAt;
        std::optional<time_point> lastListedAt; ///< In a summary of its cell.
        std::chrono::microseconds clock{ 0 };
        std::uint64_t configVersion = 0;
        bool hasLostServerPaths = false;
        time_point discoveredAt{};
        bool isSeed = false;
    };

    void setDataCentre(peer &instance, const data_centre_id &dataCentre);
    void updateFleetSize();
    void remove(peer_address instance);
    bool isHeard(const peer &instance, time_point now) const;
    bool mayRespond(const peer &instance, time_point now) const;

    peer_address m_self;
    data_centre_id m_ownDataCentre;
    std::map<peer_address, peer> m_peers;
    std::map<data_centre_id, time_point> m_lastSignOfLife;
    size_t m_largestFleetSize = 1;
    mutable std::optional<cell_map> m_cells; ///< Not set after a change of the registered instances.
};

} // namespace mustardtrail::gateway
