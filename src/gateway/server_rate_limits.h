#pragma once

#include "gateway/peer_address.h"
#include "gateway/rate_limit_news.h"

#include <deque>
#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// Keeps the requests that all instances together send to a server within the limit that the server names. Guards against an
/// overloaded server that each instance takes for idle because it gets little.
///
/// Instances tell each other their sends, which takes a moment. When a request may be sent and several instances could send
/// one, each waits for its own turn, in an order that changes with every send.
class server_rate_limits
{
public:
    struct merged_news {
        std::vector<rate_limit_news> changed; ///< Of the servers whose limit has changed.
        size_t unusable = 0;
    };

    explicit server_rate_limits(peer_address self);

    /// Records the limit that the server named in an answer; nullopt if it named none. Returns whether that changes anything.
    bool recordAnswer(server_start_key server, std::optional<double> requestsPerSecond, time_point now);
    void recordSend(server_start_key server, time_point now);
    /// Returns when this instance may send the next request there; nullopt if the server names no limit. `contenders`: instances,
    /// this one included, that have requests for it.
    std::optional<time_point> nextSendAt(server_start_key server, size_t contenders, time_point now) const;
    /// Whether any server names a limit.
    bool isEmpty() const;

    std::vector<rate_limit_news> news(time_point now) const;
    /// Takes over what another instance told in place of what it told before, except entries with an impossible limit.
    merged_news merge(peer_address from, const std::vector<rate_limit_news> &news);
    void expire(time_point now);

    static constexpr std::chrono::milliseconds window{ 4'000 }; ///< Over which the requests are counted.
    static constexpr std::chrono::milliseconds turnDuration{ 20 }; ///< By then a send is known to the other instances.
    static constexpr std::chrono::seconds newsMaxAge{ 10 }; ///< Longer than a server is left without a request.
    static constexpr size_t maxSendsInNews = 64; ///< So that a report fits a datagram.

private:
    struct named_limit {
        double requestsPerSecond = 0.0;
        time_point heardAt{};
        std::optional<time_point> heardHereAt; ///< In an answer to this instance.
    };
    using send_times = std::deque<time_point>;

    /// Takes over the newer of two limits. Returns whether its value changed.
    bool update(server_start_key server, double requestsPerSecond, time_point heardAt);
    /// Sends of all instances within the window, in the order of time.
    std::vector<time_point> knownSends(server_start_key server, time_point now) const;

    peer_address m_self;
    std::map<server_start_key, named_limit> m_limits;
    std::map<server_start_key, send_times> m_ownSends; ///< To all servers: the limit may be named after the send.
    std::map<peer_address, std::map<server_start_key, std::vector<time_point>>> m_peerSends;
};

} // namespace mustardtrail::gateway
