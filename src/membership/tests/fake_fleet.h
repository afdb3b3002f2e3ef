#pragma once

#include "base/random_source.h"
#include "membership/view_core.h"

#include "tests/fake_platform.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::membership
{

struct fake_fleet_settings {
    int nodes = 3;
    int dataCentres = 1;
    int serversPerDataCentre = 4;
    std::uint64_t seed = 1;
    std::function<void(view_settings &)> adjust = {}; ///< Changes the settings of every node.
};

/// Nodes on a fake clock that pass each other datagrams and deltas, before one fake platform.
class fake_fleet
{
public:
    struct node {
        std::unique_ptr<view_core> core;
        view_settings settings;
        bool paused = false;
        std::vector<view_event> backlog; ///< What arrived while it was paused.
        std::uint64_t bytes = 0; ///< Both ways, with IP and UDP headers.
        std::uint64_t datagrams = 0;
        std::int64_t highestRevision = 0; ///< Seen in its views, over all of its starts.
        std::chrono::milliseconds wallSkew{ 0 };
        std::vector<std::string> log;
    };

    explicit fake_fleet(const fake_fleet_settings &settings);

    void run(std::chrono::milliseconds length);
    /// Runs until the condition holds and says how long it took; nothing when it never did.
    std::optional<std::chrono::milliseconds> runUntil(const std::function<bool()> &condition, std::chrono::milliseconds longest);

    void pause(int index);
    void wake(int index);
    void kill(int index);
    void restart(int index);
    void deliver(int index, const view_event &event);
    void publish(const std::string &key, const std::string &value);

    time_point now() const;
    int size() const;
    node &at(int index);
    bool isUp(int index) const;
    const fleet_view *view(int index) const;
    bool isConfirmed(int index) const;
    peer_state stateAt(int index, int subject) const;
    int dataCentreOf(int index) const;

    fake_platform platform;
    std::function<bool(int from, int to)> isCut; ///< Between nodes.
    std::function<bool(int node)> platformIsCut;
    int lossPercent = 0;
    int duplicatePercent = 0;
    std::chrono::milliseconds longestDelay{ 1 };
    std::function<void(int node, const view_event &event)> onEvent; ///< Before each event that a node handles.
    std::function<void(int node, const view_action &action)> onAction;
    std::function<std::vector<view_action>(view_core &, const view_event &, time_point)> handle; ///< Wraps view_core::handle.

private:
    void start(int index);
    void schedule(std::chrono::microseconds delay, std::function<void()> work);
    void deliverLater(int index, std::chrono::microseconds delay, view_event event);
    void perform(int index, const view_action &action);
    void sendDatagram(int index, const send_datagram &action);
    void answerRead(int index, std::int64_t after, time_point until);
    void answerList(int index);
    void answerFetch(int index, const fetch_delta &action);
    void tickLoop(int index, std::uint64_t start);
    bool isPlatformCut(int index) const;
    std::chrono::microseconds delay();

    fake_fleet_settings m_settings;
    random_source m_random;
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_queue;
    std::vector<node> m_nodes;
    std::vector<std::uint64_t> m_starts;
    std::map<std::string, int> m_byHeartbeats;
    std::map<std::uint64_t, std::function<void(std::string)>> m_fetches;
    std::uint64_t m_nextFetch = 0;
};

} // namespace mustardtrail::membership
