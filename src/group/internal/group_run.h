#pragma once

#include "group/group_events.h"
#include "group/internal/group_member.h"
#include "group/internal/run_context.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace mustardtrail::group
{

/// Life of one group, from the first reservation to the release of every piece.
class group_run
{
public:
    group_run(start_group start, run_context &context);

    void begin(time_point now);
    void onTick(time_point now);
    void on(const owner_replied &event, time_point now);
    void on(const engine_replied &event, time_point now);
    void on(const completion_delivered &event, time_point now);
    void on(const completion_finished &event, time_point now);
    void on(const completion_failed &event, time_point now);
    void on(const engine_lost &event, time_point now);
    void on(const view_changed &event, time_point now);
    void cancel(time_point now);

    bool ended() const;
    const group_key &key() const;
    time_point nextWake() const;
    boost::json::object dump(time_point now) const;

private:
    enum class phase {
        waiting, ///< For memory or for a confirmed view.
        reserving, ///< At the owners, one after the other.
        reserving_at_engines,
        chaining, ///< Segments prefilled in order.
        completing,
        completion_refused, ///< The last engine's owner refused for now.
        ended,
    };

    // Reserving and ending (group_run.cpp).
    void plan(time_point now);
    result<group_plan> choosePlan() const;
    void waitForMemory(error refusal, time_point now);
    void resume(time_point now);
    void askNextOwner(time_point now);
    void askOwner(group_member &member, time_point now);
    void onGrant(time_point now);
    void restartWithout(const backend_server_id &backend, const error &failure, time_point now);
    void restart(const error &failure, time_point now);
    void fail(error failure, time_point now);
    void nextGeneration(time_point now);
    void releaseMembers(time_point now);
    std::chrono::milliseconds backoff();
    time_point latestStart() const;

    // Calls to engines and the completion (group_run_chain.cpp).
    void reserveAtEngines(time_point now);
    void reserveAtEngine(group_member &member, time_point now);
    void onEngineReserved(const engine_replied &event, group_member &member, time_point now);
    void sendStep(time_point now);
    time_point stepDeadline(time_point now) const;
    bool mayRepeatStep();
    bool mayRestart(time_point now) const;
    void nextStep(const engine_replied &event, time_point now);
    void onStepFailed(const engine_replied &event, time_point now);
    void startCompletion(time_point now);
    void cancelCompletion();
    engine_call callTo(group_member &member, kv_step step, time_point deadline);

    // Leases (group_run_leases.cpp).
    void renewLeases(time_point now);
    void checkLeases(time_point now);
    void onTimeout(time_point now);
    time_point leaseEnd(const group_member &member) const;

    group_member *memberOf(const backend_server_id &backend);

    start_group m_start;
    run_context &m_context;
    group_key m_key;
    phase m_phase = phase::waiting;
    time_point m_wakeAt{};
    std::vector<group_member> m_members; ///< In the order of the prompt.
    std::vector<size_t> m_reserveOrder; ///< Members in the order of their engines' ids.
    size_t m_nextReserve = 0;
    size_t m_segment = 0;
    kv_step m_step = kv_step::prefill;
    std::uint64_t m_sequence = 0; ///< Of the last message sent.
    std::uint64_t m_stepSequence = 0; ///< Of the step that awaits an answer; 0: not sent yet.
    int m_stepRepeats = 0;
    std::string m_digest;
    std::string m_ticket;
    std::set<backend_server_id> m_avoided; ///< Failed or refused; asked again only when nothing else fits.
    int m_memoryTries = 0;
    int m_restarts = 0;
    bool m_promptSent = false; ///< An engine may have seen the prompt.
    bool m_delivered = false;
};

} // namespace mustardtrail::group
