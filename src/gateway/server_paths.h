#pragma once

#include "base/clock.h"
#include "base/endpoint.h"

#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// What this instance knows of its own network paths to the backend servers. A path is lost when this instance cannot open a
/// connection, or hears nothing on an open one, while the server answers through another instance. Guards against spending
/// each request on paths that were found dead moments ago.
class server_paths
{
public:
    /// Whether to send to the server over this instance's own path, not through another instance.
    bool mayUseOwnPath(const endpoint &server, time_point now);
    /// Whether the path counts as lost, to other instances that would send over it.
    bool isLost(const endpoint &server) const;
    /// Records a connection that this instance opened to the server.
    void recordConnected(const endpoint &server);
    /// Records that the server was reached through another instance while the own path failed.
    void recordLost(const endpoint &server, time_point now);
    /// Records bytes that the server sent over the own path: this path is not lost, silence of the others shows nothing, and a verdict
    /// that all are lost is put to the test soon.
    void recordHeard(const endpoint &server, time_point now);
    /// Records that a request on an open connection to the server has been silent since then. Returns whether the path counts as
    /// lost: when another server is silent too and none has been heard since. Else the server may be slow with that request.
    bool recordSilent(const endpoint &server, time_point silentSince, time_point now);
    /// Whether all paths count as lost: several were within a short time, and no connection has been opened since.
    bool areAllLost() const;
    /// Whether other instances had better not send through this one.
    bool hasLostPaths() const;
    /// Returns a path to try, and starts its backoff; nullopt while none is due.
    std::optional<endpoint> takeProbe(time_point now);
    void expire(time_point now);

    static constexpr size_t minLostPaths = 2; ///< For the verdict that all are lost: one may be lost by itself.
    static constexpr std::chrono::milliseconds lossWindow{ 1'000 }; ///< In which they were lost; covers a few requests.
    static constexpr std::chrono::milliseconds firstProbeDelay{ 500 }; ///< Doubled after each failed probe.
    static constexpr std::chrono::milliseconds maxProbeDelay{ 2'000 }; ///< Paths must be back within 3 s of the end of a cut.
    static constexpr std::chrono::seconds unusedMaxAge{ 30 }; ///< A path that no request wanted for so long is forgotten.

private:
    struct lost_path {
        bool isConfirmed = false; ///< The server was reached in another way.
        time_point lostAt{};
        time_point wantedAt{};
        time_point probeAt{};
        std::chrono::milliseconds probeDelay{ firstProbeDelay };
    };

    bool areSeveralSilent(time_point silentSince, time_point now) const;
    lost_path &markLost(const endpoint &server, time_point now);
    /// Forgets the path to this server, and those that only silence marks as lost.
    void endSilence(const endpoint &server);

    std::map<endpoint, lost_path> m_lost;
    std::optional<time_point> m_heardAt; ///< Any server.
    std::map<endpoint, time_point> m_silentAt; ///< Of the latest request that was silent for too long.
    bool m_areAllLost = false;
    std::chrono::milliseconds m_probeDelay{ firstProbeDelay }; ///< While all are lost: of one path for all.
    time_point m_probedAt{}; ///< Or the start of the verdict.
    std::optional<endpoint> m_lastProbed;
};

} // namespace mustardtrail::gateway
