#pragma once

#include "base/random_source.h"
#include "node/entry_node.h"
#include "node/tests/fake_backend.h"
#include "node/tests/timeline.h"
#include "node/tests/trace.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace mustardtrail::node::testing
{

/// Entry nodes, the links between them, their views and their backend servers, on one fake clock.
class fleet
{
public:
    explicit fleet(std::uint64_t seed);

    /// From now on the log of the trace gets one line for each action and fault.
    void record();
    /// Adds a line to the log while recording.
    void note(const std::string &line);

    timeline &time();
    session_trace &trace();
    size_t size() const;

    /// The caller sends a request to an instance; its id is new.
    void send(size_t node, request::caller_request request);
    void leave(const request_id &request);

    /// An empty instance takes the place of the killed one after a while.
    void kill(size_t node);
    void pause(size_t node, std::chrono::milliseconds duration);
    void cut(size_t left, size_t right, std::chrono::milliseconds duration);
    void stop(size_t node);
    /// The instance gets no view for a while.
    void withholdViews(size_t node, std::chrono::milliseconds duration);
    void drain(const data_centre_id &dataCentre, bool inService);
    /// Publishes a change that reaches each instance at another time, maybe twice, and maybe after later ones.
    void change(const std::function<void(config::configuration &)> &edit);
    void setMangling(unsigned percent);
    /// From now on pieces of attempts that were given up arrive late instead of never.
    void letLatePiecesPass();
    /// From now on what is ready to be sent goes out after a pause before the node has seen the time.
    void letSendsGoFirst();
    fake_backend &backend(const std::string &id);

    /// Ends the schedule: faults are over, and what runs has the time to finish.
    void finish();

    /// No fault of instances or views is recent.
    bool viewsAgree() const;
    std::uint64_t count(const std::string &what) const;

private:
    struct host {
        membership::peer self;
        std::unique_ptr<entry_node> node;
        bool alive = true;
        bool leaving = false;
        time_point pausedUntil{};
        time_point viewsFrom{};
        time_point viewConfirmedAt{};
        std::shared_ptr<const config::configuration> config; ///< As the instance's view program holds it.
        std::shared_ptr<const config::configuration> viewConfig; ///< Of the last view that the node got.
        time_point wake{};
        std::deque<entry_event> waiting; ///< Events of a pause.
        std::map<backend_server_id, time_point> ownedSince;
        std::map<backend_server_id, std::uint64_t> fencingNumbers;
        std::map<instance_id, time_point> lastContact;
    };
    struct hop {
        size_t origin = 0;
        size_t owner = 0;
        time_point last{}; ///< Latest delivery on the way back.
    };
    struct peer_wait {
        size_t caller = 0;
        std::uint64_t call = 0;
    };
    using connection_key = std::pair<attempt_id, int>;

    void offer(size_t node, const std::shared_ptr<const config::configuration> &config);
    void deliver(size_t node, const entry_event &event);
    void deliverLate(size_t node, std::uint64_t incarnation, const entry_event &event);
    void deliverSoon(size_t node, const entry_event &event);
    void handleNow(size_t node, const entry_event &event);
    void scheduleWake(size_t node);
    void tick(size_t node, time_point due);
    void resume(size_t node);
    bool isPaused(size_t node) const;
    bool reaches(size_t from, size_t to) const;
    std::optional<size_t> nodeAt(const endpoint &address) const;
    std::chrono::milliseconds travel();
    bool mangles();

    void feedViews();
    void feedView(size_t node);
    std::shared_ptr<membership::fleet_view> viewOf(size_t node);
    void assign(size_t node, membership::fleet_view &view);
    std::uint64_t fencingNumberOf(host &owner, const backend_server_id &backend, time_point since);

    void act(size_t node, const request::relay_output &action);
    void act(size_t node, const request::complete_request &action);
    void act(size_t node, const request::fail_request &action);
    void act(size_t node, const forward_attempt &action);
    void act(size_t node, const close_hop &action);
    void act(size_t node, const open_backend &action);
    void act(size_t node, const resume_backend &action);
    void act(size_t node, const cancel_backend &action);
    void act(size_t node, const reply_on_hop &action);
    void act(size_t node, const call_peer &action);
    void act(size_t node, const peer_answer &action);
    void act(size_t node, const read_engine &action);
    void act(size_t node, const call_engine &action);
    void act(size_t node, const release_group &action);
    void act(size_t node, const publish_summary &action);

    void sendToBackend(size_t node, const open_backend &action);
    fake_backend::to_owner replyTo(size_t node, const attempt_id &attempt, int connection);
    void start(size_t node);
    void dropConnections(size_t node);
    void failHop(const attempt_id &attempt);
    void answerCall(std::uint64_t call, const result<boost::json::value> &answer);

    timeline m_time;
    random_source m_random;
    session_trace m_trace;
    std::uint64_t m_nextSeed;
    std::shared_ptr<config::configuration> m_config;
    std::vector<host> m_hosts;
    std::map<backend_server_id, std::unique_ptr<fake_backend>> m_backends;
    std::map<std::pair<size_t, size_t>, time_point> m_cuts;
    std::map<attempt_id, hop> m_hops;
    std::map<std::uint64_t, peer_wait> m_calls;
    std::map<connection_key, size_t> m_connections; ///< Open ones, with the instance that sends on it.
    std::map<request_id, size_t> m_origins;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_lastCall = 0;
    bool m_recording = false;
    unsigned m_manglePercent = 0;
    bool m_latePieces = false;
    bool m_sendsFirst = false;
    time_point m_disturbedUntil{};
};

} // namespace mustardtrail::node::testing
