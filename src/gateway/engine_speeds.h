#pragma once

#include "gateway/peer_address.h"
#include "gateway/slow_server_news.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Estimates how much slower than published each start of an engine is: from the pace that it reports itself, from the times to the
/// first events of this instance's sends, and from what other instances observed.
class engine_speeds
{
public:
    /// Records that this instance runs; called several times within `longestPause`. After a longer pause first events were read late, so
    /// the sends of before are not measured. Without any call no pause is known.
    void recordRunning(time_point now);
    /// Records what the engine itself reports; above 1: slower than published. Returns false for a value that is no pace.
    bool recordPace(server_start_key server, double pace, time_point now);
    /// Records a send that this engine answers alone. `predicted`: time to the first event at the published speed.
    void recordSend(server_start_key server, std::uint64_t send, std::chrono::microseconds predicted, time_point now);
    /// Records the first event of such a send. `explained`: prediction at the published speed with all work of others that was known
    /// later. Returns actual over predicted time; nothing if the send is unknown.
    std::optional<double> recordAnswer(server_start_key server, std::uint64_t send, std::chrono::microseconds explained, time_point now);
    /// Returns when a send that has no first event yet was sent.
    std::optional<time_point> sentAt(server_start_key server, std::uint64_t send) const;
    /// Records that the send ended, answered or not; without effect on an unknown one.
    void endSend(server_start_key server, std::uint64_t send, time_point now);
    /// Records one time to a first event. Both times are above 0; others are ignored.
    void recordFirstEvent(server_start_key server, std::chrono::microseconds predicted, std::chrono::microseconds actual, time_point now);
    /// Replaces what another instance observed. Returns the number of entries that could not be used.
    size_t merge(peer_address from, const std::vector<slow_server_news> &news, time_point now);

    /// Time that the engine takes as a multiple of the published one; 1.0 for one that is not slower than `slowFrom`. `isFull`: its
    /// slots are taken, so that its silence shows no speed.
    double slownessOf(server_start_key server, time_point now, bool isFull = false) const;
    /// Whether late first events make the engine count as slow, and its pace has not been read since. They may also have waited for a
    /// slot, or behind work that is not known here.
    bool isUnconfirmed(server_start_key server, time_point now) const;
    /// What this instance itself observed of slow engines, the slowest first. Silence is not in it: it may be this instance's own path
    /// that is lost, and the others see the work that is overdue.
    std::vector<slow_server_news> news(time_point now) const;
    void expire(time_point now);

    static constexpr double slowFrom = 2.0; ///< Smaller factors are within the error of the forecast.
    static constexpr double maxSlowness = 16.0;
    static constexpr size_t maxNews = 16; ///< Entries in one report: about 350 bytes.
    static constexpr std::chrono::seconds ownExpiry{ 5 }; ///< An engine that recovered gets work again after this time.
    static constexpr std::chrono::seconds peerExpiry{ 3 }; ///< Several report intervals.
    static constexpr std::chrono::milliseconds longestPause{ 250 }; ///< Of an instance that has little processor time but is not frozen.
    static constexpr std::chrono::milliseconds silenceMargin{ 500 }; ///< Added to twice the forecast before a send counts as silent.

private:
    struct observation {
        double slowness = 1.0;
        time_point at{};
    };
    struct pending_send {
        std::uint64_t id = 0;
        std::chrono::microseconds predicted{ 0 };
        time_point sentAt{};
    };
    struct engine {
        std::optional<observation> pace;
        std::deque<observation> ratios; ///< The last few, the latest last.
        std::optional<observation> late; ///< What these showed at the latest of them.
        std::vector<pending_send> sends; ///< Without a first event.
        std::optional<observation> silence; ///< Of the last send that ended while the engine was silent.
        std::optional<time_point> lastAnsweredSendAt; ///< When the latest answered send was sent.
        std::map<peer_address, observation> peers;
    };

    /// From what shows a speed: the pace and the first events.
    std::optional<observation> measured(const engine &known, time_point now) const;
    std::optional<observation> silence(const engine &known, time_point now) const;
    std::optional<observation> fromRatios(const engine &known, time_point now) const;
    std::optional<observation> silenceOf(const engine &known, const pending_send &send, time_point now) const;
    static bool isLate(const engine &known, time_point now);
    static bool isPaceNewer(const engine &known, const observation &than);
    void updateUsualRatio();
    /// Whether this instance has stood still since it last recorded that it runs.
    bool hasPaused(time_point now) const;

    std::map<server_start_key, engine> m_engines;
    std::deque<double> m_recentRatios; ///< Of all engines.
    double m_usualRatio = 1.0; ///< Median of these.
    std::optional<time_point> m_ranAt; ///< Last time of recordRunning.
};

} // namespace mustardtrail::gateway
