#pragma once

#include "base/clock.h"
#include "gateway/crash_evidence.h"

#include <map>
#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Moments in which instances lost their connections to several servers at once. What such an instance saw then says nothing of any of
/// the servers: the common cause is the instance, its paths, or what ends many servers together.
class observer_losses
{
public:
    explicit observer_losses(peer_address self);

    /// Records that this instance lost a connection to the server, whose request it had sent at `sentAt`. Returns whether a moment of
    /// loss began or grew. Servers are lost at once when all were answering requests sent before the first loss: a prompt that ends
    /// its servers is sent to the next one after that.
    bool recordOwn(server_start_key server, time_point sentAt, time_point now);
    /// Records what another instance told. Returns whether it is news.
    bool recordHeard(const observer_loss &loss, time_point now);
    /// Whether the observer had just lost several servers at that time.
    bool isDoubtful(peer_address observer, time_point at) const;
    /// Tells the others again what is known of the observer.
    void tellAgain(peer_address observer, time_point now);
    /// Moments of loss that became known within `maxAge`.
    std::vector<observer_loss> news(std::chrono::milliseconds maxAge, time_point now) const;
    void expire(time_point now);

    static constexpr size_t minServers = 3; ///< Two may end together under two prompts.
    static constexpr std::chrono::milliseconds atOnce{ 100 };
    static constexpr std::chrono::milliseconds aftermath{ 1'000 }; ///< By then a cut is known, and its connections are closed.
    static constexpr std::chrono::milliseconds reportJitter{ 50 }; ///< By which reports of one event differ between two instances.
    static constexpr std::chrono::seconds retention{ 61 }; ///< Longer than the evidence of such a moment is kept.
    static constexpr size_t maxLossesPerObserver = 8;
    static constexpr size_t maxObservers = 1'024; ///< More than a fleet has instances.

private:
    struct loss_record {
        observer_loss loss;
        time_point changedAt{};
    };

    struct lost_connection {
        time_point sentAt{};
        time_point at{};
    };

    /// Returns when the first of several servers was lost that were lost at once.
    std::optional<time_point> firstOfSeveral() const;
    bool store(const observer_loss &loss, std::chrono::milliseconds tolerance, time_point now);

    peer_address m_self;
    std::map<server_start_key, lost_connection> m_lost; ///< Here, within `atOnce`.
    std::map<peer_address, std::vector<loss_record>> m_losses;
};

} // namespace mustardtrail::gateway
