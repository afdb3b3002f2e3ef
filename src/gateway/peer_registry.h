#pragma once

#include "base/clock.h"
#include "gateway/load_report.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Instances of the fleet that tell each other their work. An instance that is silent is still told for a while, as it
/// may be cut off; it is forgotten after memory.
class peer_registry
{
public:
    peer_registry(peer_address self, data_centre_id ownDataCentre);

    /// Addresses from the settings; told until they are heard or forever.
    void addSeeds(const std::vector<peer_address> &seeds);
    /// False when the report is older than one already seen.
    bool recordReport(const load_report &report, time_point now);
    void expire(time_point now);

    std::vector<peer_address> reportTargets() const;
    /// Those heard within the last few reports; passed on to others.
    std::vector<peer_address> alive(time_point now) const;
    /// Data centres from which no instance is heard any more, though one was lately: probably cut off from here. Their
    /// backend servers would take a request and never answer.
    std::set<data_centre_id> unresponsiveDataCentres(time_point now) const;
    /// Of the own data centre, those heard within the last few reports.
    std::vector<peer_address> sameDataCentrePeers(time_point now) const;
    /// The clocks of the neighbours in their last reports.
    std::vector<clock_echo> sameDataCentreClocks(time_point now) const;
    /// Most instances ever known at one time, this one included. Shares of fleet-wide bounds are divided by it, so that
    /// an instance that loses sight of the others does not take their part.
    size_t largestFleetSize() const;

    static constexpr std::chrono::milliseconds peerTimeout{ 3'000 }; ///< Several intervals between reports.
    static constexpr std::chrono::milliseconds dataCentreTimeout{ 1'000 }; ///< Three reports of each instance there are missing.
    static constexpr std::chrono::milliseconds maxDataCentreSuspicion{
        15'000
    }; ///< After it the silence may as well mean that all were stopped.
    static constexpr std::chrono::milliseconds peerRetention{ 60'000 }; ///< Longer than a cut of a data centre usually lasts.

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
