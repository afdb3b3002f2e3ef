#pragma once

#include "gateway/crash_evidence.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Starts of backend servers that were found to run after a connection to them had been lost. Guards against taking the loss of a
/// network path for the end of a server.
class server_sightings
{
public:
    /// Records that the server ran at that time, as its answer to this instance shows.
    void recordOwn(server_start_key server, time_point at, time_point now);
    /// Records what another instance told. Returns whether it is news.
    bool recordHeard(const server_sighting &sighting, time_point now);
    /// Whether the server ran after this crash. `isOwn`: this instance saw the crash, so that its time is exact.
    bool refutes(const crash_evidence &crash, bool isOwn) const;
    /// Tells the others again what is known of the server.
    void tellAgain(server_start_key server, time_point now);
    /// Sightings that became known within `maxAge`.
    std::vector<server_sighting> news(std::chrono::milliseconds maxAge, time_point now) const;
    void expire(time_point now);

    static constexpr std::chrono::seconds retention{ 60 }; ///< As long as evidence is kept that a sighting may refute.
    /// By which reports of one event differ between two instances.
    static constexpr std::chrono::milliseconds reportJitter{ 50 };
    static constexpr size_t maxSightings = 256; ///< Twice as many as crashes are kept.

private:
    struct sighting_record {
        time_point at{};
        time_point changedAt{};
    };

    void store(server_start_key server, time_point at, time_point now);

    std::map<server_start_key, sighting_record> m_sightings;
};

} // namespace mustardtrail::gateway
