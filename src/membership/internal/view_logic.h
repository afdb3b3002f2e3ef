#pragma once

#include "membership/internal/config_follower.h"
#include "membership/internal/failure_detector.h"
#include "membership/internal/list_follower.h"
#include "membership/internal/load_schedule.h"
#include "membership/internal/view_builder.h"
#include "membership/internal/view_confirmation.h"
#include "membership/view_core.h"

#include <optional>
#include <string_view>

namespace mustardtrail::membership
{

/// Names that the choice of readers is hashed with.
constexpr std::string_view configService = "configuration";
constexpr std::string_view listService = "live_list";

/// What follows from the member table and is asked for at every event.
struct member_counts {
    size_t listedPeers = 0; ///< Called live by the list.
    size_t answering = 0; ///< Held for alive.
    int configRank = 0;
    int listRank = 0;
};

/// Parts of the view process and the order in which events pass through them.
class view_logic
{
public:
    explicit view_logic(const view_settings &settings);
    view_logic(const view_logic &) = delete;
    view_logic &operator=(const view_logic &) = delete;

    std::vector<view_action> handle(const view_event &event, time_point now);
    time_point nextWake() const;
    std::shared_ptr<const fleet_view> view() const;
    boost::json::object dump(time_point now) const;

private:
    void on(const clock_tick &event, time_point now);
    void on(const wall_clock_reading &event, time_point now);
    void on(const datagram_received &event, time_point now);
    void on(const config_read_result &event, time_point now);
    void on(const live_list_result &event, time_point now);
    void on(const delta_received &event, time_point now);
    void on(const delta_requested &event, time_point now);
    void on(const load_summaries_set &event, time_point now);
    void on(const fencing_seen &event, time_point now);
    void on(const begin_stop &event, time_point now);

    void checkPause(time_point now);
    void readServices(time_point now);
    void confirm(time_point now);
    void publish(time_point now);
    void rebuild(time_point now);
    bool isStale(time_point now) const;
    void takeMessage(const peer_message &message, const endpoint &from, time_point now);
    void send(std::vector<outgoing_message> messages, time_point now);
    bool takesLoads(const instance_id &receiver, time_point now);
    void complete(outgoing_message &out, time_point now);
    void add(std::vector<view_action> actions);
    void log(std::string line);
    void logMembers();
    std::vector<instance_id> localCandidates() const;
    void countMembers();
    bool isUpToDate() const;

    view_settings m_settings;
    std::uint32_t m_cluster;
    random_source m_random;
    member_table m_members;
    failure_detector m_detector;
    config_follower m_config;
    list_follower m_list;
    logical_clock m_clock;
    view_confirmation m_confirmation;
    ownership_record m_ownership;
    std::vector<std::string> m_loads;
    load_schedule m_loadSchedule;

    std::vector<view_action> m_out;
    std::optional<time_point> m_startedAt;
    time_point m_nextTick{};
    std::shared_ptr<const fleet_view> m_view;
    time_point m_publishedAt{};
    std::int64_t m_builtRevision = -1;
    std::uint64_t m_builtMembers = 0;
    std::uint64_t m_builtListings = 0;
    std::uint64_t m_builtClaims = 0;
    std::uint64_t m_claimChanges = 1;
    time_point m_rebuiltAt{};
    owner_candidates m_builtCandidates;
    std::optional<std::uint64_t> m_countedAt;
    member_counts m_counts;
    std::map<instance_id, peer_state> m_loggedStates;
    std::uint64_t m_loggedAt = 0;
    std::int64_t m_pushedRevision = 0;
    std::uint64_t m_droppedDatagrams = 0;
};

} // namespace mustardtrail::membership
