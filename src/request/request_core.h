#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "membership/fleet_view.h"
#include "placement/work_item.h"
#include "request/request_actions.h"
#include "request/request_core_options.h"
#include "request/request_counters.h"
#include "request/request_events.h"
#include "request/retry_budget.h"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardtrail::request
{

struct running_request;

/// Life cycle of the requests that this instance received: admission, key claims, attempts, retries, deadlines, final answers.
/// Every admitted request ends in exactly one complete_request or fail_request.
class request_core
{
public:
    using choose_owner = std::function<result<instance_id>(const placement::work_item &work,
        const std::vector<backend_server_id> &excludedBackends,
        const std::vector<instance_id> &excludedInstances,
        time_point now)>;
    using actions = std::vector<request_action>;

    request_core(request_core_options options, instance_id self, std::uint64_t seed, choose_owner chooseOwner);
    ~request_core();
    request_core(const request_core &) = delete;
    request_core &operator=(const request_core &) = delete;

    /// Handles one event, after failing the requests whose deadline has passed.
    actions handle(const request_event &event, time_point now);
    /// Installs a new view; attempts at instances that are dead in it fail.
    actions onView(std::shared_ptr<const membership::fleet_view> view, time_point now);
    actions onTick(time_point now);
    /// When to call onTick next.
    std::optional<time_point> nextWake() const;

    /// Planned stop: refuses new requests and finishes the running ones.
    void beginStop(time_point now);
    std::size_t runningCount() const;
    const request_counters &counters() const;
    boost::json::value dump(time_point now) const;

private:
    void on(const caller_request &event, time_point now, actions &out);
    void on(const caller_gone &event, time_point now, actions &out);
    void on(const attempt_accepted &event, time_point now, actions &out);
    void on(const attempt_output &event, time_point now, actions &out);
    void on(const attempt_finished &event, time_point now, actions &out);
    void on(const attempt_failed &event, time_point now, actions &out);
    void on(const key_claim_reply &event, time_point now, actions &out);
    void on(const key_claim_failed &event, time_point now, actions &out);

    result<config::work_class> check(const caller_request &request) const;
    running_request &admit(const caller_request &event, const config::work_class &workClass, time_point now);
    void startClaims(running_request &request, time_point now, actions &out);
    void sendClaim(running_request &request, time_point now, actions &out);
    void onClaimGranted(running_request &request, const key_claim_reply &reply, time_point now, actions &out);
    running_request *findClaiming(const request_id &id, const instance_id &home);
    void reportOutcome(const running_request &request, verdict outcome, actions &out) const;

    void startAttempt(running_request &request, time_point now, actions &out);
    bool mayResetExclusions(const running_request &request, const error &failure, time_point now) const;
    void resetExclusions(running_request &request, time_point now);
    result<instance_id> chooseInstance(running_request &request, const placement::work_item &work, time_point now);
    placement::work_item makeWorkItem(const running_request &request, time_point now) const;
    std::vector<instance_id> avoidedInstances(const running_request &request) const;
    data_centre_id dataCentreOf(const instance_id &instance) const;
    void relayReady(running_request &request, time_point now, actions &out);
    void abandonAttempt(running_request &request, const error &failure, time_point now, actions &out);
    void afterFailure(running_request &request, const error &failure, const backend_server_id &backend, time_point now, actions &out);
    void recordFailure(running_request &request, error_code code, const backend_server_id &backend);
    void retryOrFail(running_request &request, const error &failure, time_point now, actions &out);
    std::optional<error> retryRefusal(const running_request &request, const error &failure, time_point now, std::chrono::milliseconds wait);
    void excludeOtherVersions(running_request &request) const;
    std::optional<std::string> modelVersionOf(const backend_server_id &backend) const;
    std::chrono::milliseconds backoff(const running_request &request);

    void complete(running_request &request, const std::string &finishReason, actions &out);
    void fail(running_request &request, error failure, actions &out);
    void endAttempt(running_request &request);
    void eraseRequest(running_request &request);

    running_request *findLiveAttempt(const attempt_id &attempt);
    void runDue(time_point now, actions &out);
    void onDue(running_request &request, time_point now, actions &out);
    /// Deadline that applies now: that of the first token while it is enforced and outstanding, else that of the whole answer.
    time_point effectiveDeadline(const running_request &request) const;
    time_point wakeTime(const running_request &request) const;
    void schedule(running_request &request);

    request_core_options m_options;
    instance_id m_self;
    random_source m_random;
    choose_owner m_chooseOwner;
    retry_budget m_budget;
    request_counters m_counters;
    bool m_stopping = false;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::set<service_id> m_services; ///< Plain services in the configuration.
    std::uint64_t m_nextOrder = 0;
    std::unordered_map<request_id, std::unique_ptr<running_request>> m_requests;
    std::unordered_map<attempt_id, running_request *> m_live;
    std::set<std::pair<time_point, std::uint64_t>> m_wakes; ///< Wake time and order of each running request.
    std::unordered_map<std::uint64_t, running_request *> m_byOrder;
};

} // namespace mustardtrail::request
