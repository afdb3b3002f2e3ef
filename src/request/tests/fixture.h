#pragma once

#include "membership/fleet_view.h"
#include "request/request_core.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::request::testing
{

using std::chrono::milliseconds;

/// Test time in milliseconds.
inline time_point at(int ms)
{
    return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

/// Two data centres: instances e1, e2 and servers g1, g2, s1 in dc1; e3 and g3, g4, s2 in dc2. g4 runs another model version.
std::shared_ptr<membership::fleet_view> makeView(
    const std::string &self, time_point confirmedAt, const std::vector<std::string> &dead = {});

/// Owner of the first eligible backend server, preferring the own data centre.
result<instance_id> chooseFirst(const membership::fleet_view &view,
    const placement::work_item &work,
    const std::vector<backend_server_id> &excludedBackends,
    const std::vector<instance_id> &excludedInstances);

/// Core with a view confirmed at time 0 that places requests with chooseFirst.
std::unique_ptr<request_core> makeCore(const std::string &self = "e1", request_core_options options = {});

/// Request of class "lookup" (repeatable, first-token target 300 ms, total target 5 s).
caller_request makeLookup(const std::string &id);
/// Request of class "deposit" (not repeatable, total target 5 s) to a plain service.
caller_request makeDeposit(const std::string &id, const std::string &key = "");

attempt_output makeOutput(const std::string &attempt, std::uint64_t sequence, const std::string &text);
attempt_failed makeFailure(const std::string &attempt, error_code code, verdict outcome, const std::string &backend);

/// Returns the only action of the type; throws when there is none or more than one.
template<typename action> const action &only(const request_core::actions &actions);
/// Number of actions of the type.
template<typename action> std::size_t count(const request_core::actions &actions)
{
    std::size_t found = 0;
    for (const request_action &entry : actions) {
        found += std::holds_alternative<action>(entry) ? 1 : 0;
    }
    return found;
}

template<typename action> const action &only(const request_core::actions &actions)
{
    const action *found = nullptr;
    for (const request_action &entry : actions) {
        const action *typed = std::get_if<action>(&entry);
        if (typed != nullptr && found != nullptr) {
            throw std::runtime_error("more than one action of the type");
        }
        found = typed != nullptr ? typed : found;
    }
    if (found == nullptr) {
        throw std::runtime_error("no action of the type");
    }
    return *found;
}

} // namespace mustardtrail::request::testing
