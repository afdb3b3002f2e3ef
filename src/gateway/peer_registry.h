#pragma once

#include "base/clock.h"
#include "gateway/load_report.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// The other instances of the fleet, which exchange load reports. An unresponsive instance still receives reports, as it may
/// only be cut off, and is removed after `peerRetention`.
class peer_registry
{
public:
    peer_registry(peer_address self, data_centre_id ownDataCentre);

    /// Adds the addresses from the settings. They stay registered even if they never send a report, until they announce that
    /// they leave.
    void addSeeds(const std::vector<peer_address> &seeds);
    /// Returns false when the report is not newer than the last one of its sender, or was sent by this instance.
    bool recordReport(const load_report &report, time_point now);
    void expire(time_point now);

    /// Returns the instances to send reports to: all registered ones.
    std::vector<peer_address> reportTargets() const;
    /// Returns the instances that sent a report within `peerTimeout`; passed on to other instances.
    std::vector<peer_address> alive(time_point now) const;
    /// Returns the data centres of which no instance has sent a report for `dataCentreTimeout`, though one did within
    /// `maxDataCentreSuspicion`. They are probably cut off: their backend servers would accept a request and never answer.
    std::set<data_centre_id> unresponsiveDataCentres(time_point now) const;
    /// Returns the instances of the own data centre that sent a report within `peerTimeout`.
    std::vector<peer_address> sameDataCentrePeers(time_point now) const;
    /// Returns the timestamps of the last reports of `sameDataCentrePeers`.
    std::vector<clock_echo> sameDataCentreClocks(time_point now) const;
    /// Returns the largest number of instances known at one time since the start, this one included. Fleet-wide limits are
    /// divided by it, so that an instance that is cut off from the others does not use their share.
    size_t largestFleetSize() const;

    static constexpr std::chrono::milliseconds peerTimeout{ 3'000 }; ///< Several report intervals.
    static constexpr std::chrono::milliseconds dataCentreTimeout{ 1'000 }; ///< Three missed reports of each instance there.
    static constexpr std::chrono::milliseconds maxDataCentreSuspicion{
        15'000
    }; ///< After this the instances there have more likely been stopped.
    static constexpr std::chrono::milliseconds peerRetention{ 60'000 }; ///< Longer than most partitions of a data centre.

private:
    struct peer {
        data_centre_id dataCentre;
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        std::optional<time_point> lastReportAt;
        std::chrono::microseconds clock{ 0 };
        time_point discoveredAt{};
        bool isSeed = false;
    };

    peer_address m_self;
    data_centre_id m_ownDataCentre;
    std::map<peer_address, peer> m_peers;
    size_t m_largestFleetSize = 1;
};

} // namespace mustardtrail::gateway
