#pragma once

#include "base/error.h"
#include "config/config_store.h"
#include "membership/internal/reader_duty.h"
#include "membership/peer.h"
#include "membership/view_actions.h"
#include "membership/view_settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::membership
{

/// Keeps the configuration of this node up to date: from the service while it is a reader, else from peers.
class config_follower
{
public:
    config_follower(const view_settings &settings, random_source &random);

    const config::config_store &store() const;
    const reader_duty &duty() const;

    /// A peer holds this revision and knows that the service had nothing newer that long ago.
    void hint(const peer &source, std::int64_t revision, std::optional<std::chrono::milliseconds> age, time_point now);
    std::vector<view_action> tick(int rank, time_point now);
    std::vector<view_action> readFromService(const result<std::string> &body, time_point now);
    std::vector<view_action> receivedDelta(const instance_id &peer, const result<std::string> &body, time_point now);
    std::string delta(std::int64_t afterRevision, time_point now) const;

    /// Age to tell peers: since the service was known to have nothing newer than what is in force here.
    std::optional<std::chrono::milliseconds> age(time_point now) const;
    /// True when no peer is known to hold a higher revision.
    bool isCaughtUp() const;
    /// Asks the service or a peer again although nothing is due.
    void refresh(time_point now);

private:
    struct source {
        endpoint view;
        std::int64_t revision = 0;
    };
    struct open_fetch {
        instance_id peer;
        time_point answerBy{};
    };

    void readService(int rank, time_point now, std::vector<view_action> &out);
    void fetchFromPeer(time_point now, std::vector<view_action> &out);
    void dropSources();
    std::vector<view_action> serviceFailed(std::string_view reason, time_point now);

    view_settings m_settings;
    config::config_store m_store;
    reader_duty m_duty;
    std::map<instance_id, source> m_sources; ///< Peers that hold a higher revision.
    std::optional<open_fetch> m_fetch;
    std::int64_t m_askedAfter = 0;
    bool m_readWhole = false;
    bool m_fetchWhole = false;
    std::string m_lastFailure;
};

} // namespace mustardtrail::membership
