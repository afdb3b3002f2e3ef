#pragma once

#include "gateway/fleet_state.h"
#include "gateway/placement_decision.h"
#include "gateway/placement_inputs.h"
#include "gateway/placement_subject.h"
#include "gateway/room_forecast.h"

namespace mustardtrail::gateway
{

/// Chooses where one request is sent, each time anew while it waits. Reads the state of the fleet and changes nothing in it, so an
/// explanation of a placement runs the same code as the placement.
class request_placement
{
public:
    /// `random` decides among equals.
    request_placement(const fleet_state &state, random_source &random);

    /// Decides for now. `seen` receives what the last step of the decision was made from.
    placement_decision choose(const placement_subject &subject, time_point now, placement_inputs *seen = nullptr);
    /// The request's place in the waiting order; its number is 0 before the first decision in that order.
    const waiting_prompt &placeInOrder() const;
    /// The latest forecast of the capacity for it; nullopt before the first.
    const std::optional<room_forecast> &roomForecast() const;

    static constexpr std::chrono::milliseconds noServerRetryAfter{ 500 }; ///< A replaced server is listed within about a heartbeat.
    static constexpr std::string_view noRoomReason = "no_room_in_time"; ///< Refused, as the forecast shows that waiting is in vain.

private:
    placement_decision chooseIn(server_scope scope, const placement_subject &subject, time_point now, placement_inputs *seen);
    placement_decision chooseInOrder(const placement_request &work,
        const engine_profile &engine,
        const std::vector<placement_candidate> &candidates,
        server_scope scope,
        const placement_subject &subject,
        time_point now,
        placement_inputs *seen);
    placement_decision choosePlainServer(const std::vector<placement_candidate> &candidates);
    /// Decision while the servers want nothing until then.
    placement_decision whileQuiet(std::string_view reason, time_point quietUntil, const placement_subject &subject, time_point now);
    /// Refuses the request if the forecast shows that waiting is in vain.
    placement_decision waitOrRefuse(const placement_decision &wait,
        const engine_profile &engine,
        const std::vector<placement_candidate> &candidates,
        const placement_subject &subject,
        time_point now);
    placement_request workOf(const placement_subject &subject);

    const fleet_state &m_state;
    random_source &m_random;
    waiting_prompt m_place; ///< Its request is 0 until the first decision.
    std::optional<room_forecast> m_roomForecast;
    time_point m_nextForecastAt{};
    time_point m_nextFleetTryAt{}; ///< While it waits: when to look for a server in other cells again.
};

/// Returns the place of a request in the waiting order. `number`: random number of the request.
waiting_prompt placeOf(std::uint64_t number, const placement_subject &subject, const placement_request &work, const engine_profile &engine);

/// Returns `retryAfter` within a third of the caller's time left, so that it can still be served then.
std::chrono::milliseconds retryWithin(std::chrono::milliseconds retryAfter, std::chrono::milliseconds timeLeft);

} // namespace mustardtrail::gateway
