#pragma once

#include "base/random_source.h"
#include "request/backend_attempt.h"
#include "request/key_home.h"
#include "request/request_core.h"
#include "request/tests/checker.h"
#include "request/tests/fixture.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::request::testing
{

/// Random schedule over three instances: messages are delayed, duplicated, lost and reordered; backend servers refuse,
/// break connections and truncate answers; instances die; callers disconnect, retry and send duplicates.
class simulation
{
public:
    explicit simulation(std::uint64_t seed);

    /// Runs until no step is left.
    void run();
    const std::vector<trace_entry> &trace() const;
    const request_counters &totals() const;

private:
    struct node {
        std::unique_ptr<request_core> core;
        std::unique_ptr<key_home> home;
        bool alive = true;
        int incarnation = 0;
    };

    struct owned_attempt {
        backend_attempt machine;
        std::string owner;
        std::string origin;
        request_id request;
        token_count firstToken = 0; ///< Index in the answer of the first token of this attempt.
        bool stopped = false;
    };

    struct caller {
        std::string key;
        bool repeatable = true;
        int tries = 0;
        bool completed = false;
    };

    bool chance(int percent);
    milliseconds delay(int limit);
    void after(milliseconds wait, std::function<void()> step);

    void startNode(const std::string &name);
    void killNode(const std::string &name);
    void refreshViews();
    void handOverKeys(const std::string &name);
    void addTotals(const std::string &name);
    void runCore(const std::string &name, const std::function<request_core::actions(request_core &)> &step);
    void sendEvent(const std::string &from, const std::string &to, const request_event &event);
    bool isReachable(const std::string &from, const std::string &to) const;

    void sendRequest(const std::string &callerId);
    void scheduleCallerRetry(const std::string &callerId);
    void record(trace_kind kind, const std::string &request, const std::string &text = "", verdict outcome = verdict::not_run);

    void act(const std::string &name, const request_action &action);
    void act(const std::string &name, const start_attempt &action);
    void act(const std::string &name, const cancel_attempt &action);
    void act(const std::string &name, const relay_output &action);
    void act(const std::string &name, const complete_request &action);
    void act(const std::string &name, const fail_request &action);
    void act(const std::string &name, const send_key_claim &action);
    void act(const std::string &name, const send_key_outcome &action);

    void openAttempt(const std::string &origin, const start_attempt &action);
    void runAttempt(const std::string &id, const std::function<backend_actions(backend_attempt &)> &step);
    void actOfOwner(const std::string &id, const backend_action &action);
    void serve(const std::string &id, int connection);
    void stream(const std::string &id, int connection, std::uint64_t sequence);
    void backendEvent(const std::string &id, const backend_event &event);

    random_source m_random;
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_steps;
    std::map<std::string, node> m_nodes;
    std::map<std::string, owned_attempt> m_attempts;
    std::map<std::string, caller> m_callers;
    std::map<std::string, std::string> m_callerOf; ///< By request.
    std::map<std::string, std::string> m_originOf; ///< By request without a final answer.
    std::vector<trace_entry> m_trace;
    request_counters m_totals;
    int m_nextRequest = 0;
    bool m_callersMarkRetries = true; ///< Callers mark requests that they send again.
    bool m_partitioned = false; ///< The network between dc1 and dc2 is partitioned.
};

} // namespace mustardtrail::request::testing
