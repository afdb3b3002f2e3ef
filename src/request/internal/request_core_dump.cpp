#include "request/request_core.h"

#include "request/internal/running_request.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

namespace
{

const char *toString(request_state state)
{
    switch (state) {
    case request_state::claiming:
        return "claiming_key";
    case request_state::waiting:
        return "waiting";
    case request_state::running:
        return "running";
    }
    return "";
}

boost::json::object dumpRequest(const running_request &request, time_point now)
{
    boost::json::object state;
    state["request"] = request.spec.id.str();
    state["class"] = request.spec.workClass.str();
    state["customer"] = request.spec.customer.str();
    state["state"] = toString(request.state);
    state["age_ms"] = std::chrono::floor<milliseconds>(now - request.arrival).count();
    state["left_ms"] = std::chrono::floor<milliseconds>(request.deadline - now).count();
    state["attempts"] = request.attempts;
    state["instance"] = request.target.str();
    state["backend_server"] = request.backend.str();
    state["tokens"] = request.deliveredTokens;
    state["verdict_so_far"] = mustardtrail::toString(request.worstVerdict);
    return state;
}

boost::json::object dumpCounters(const request_counters &counters)
{
    boost::json::object state;
    state["admitted"] = counters.admitted;
    state["refused"] = counters.refused;
    state["completed"] = counters.completed;
    state["failed"] = counters.failed;
    state["attempts"] = counters.attempts;
    state["retries"] = counters.retries;
    state["continuations"] = counters.continuations;
    state["events_ignored"] = counters.eventsIgnored;
    return state;
}

} // namespace

boost::json::value request_core::dump(time_point now) const
{
    boost::json::object state;
    state["running"] = m_requests.size();
    state["stopping"] = m_stopping;
    state["retry_budget_left"] = m_budget.left();
    state["counters"] = dumpCounters(m_counters);
    boost::json::array requests;
    for (const auto &[wake, order] : m_wakes) {
        if (requests.size() == m_options.dumpLimit) {
            break;
        }
        requests.push_back(dumpRequest(*m_byOrder.at(order), now));
    }
    state["next_due"] = std::move(requests);
    return state;
}

} // namespace mustardtrail::request
