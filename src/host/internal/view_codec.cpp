#include "host/view_codec.h"

#include "base/json_access.h"

#include <boost/json/array.hpp>

#include <optional>

namespace mustardtrail::host
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

std::int64_t ageOf(time_point when, time_point now)
{
    return std::chrono::ceil<milliseconds>(now - when).count();
}

json::object peerToJson(const membership::peer &peer)
{
    return { { "id", peer.id.str() },
        { "data_centre", peer.dataCentre.str() },
        { "requests", toString(peer.requests) },
        { "heartbeats", toString(peer.heartbeats) },
        { "state", static_cast<std::int64_t>(peer.state) },
        { "incarnation", peer.incarnation } };
}

/// An age in milliseconds; empty when it is missing, negative or too large to subtract from a time_point.
std::optional<milliseconds> ageFrom(const json::object &message, std::string_view key)
{
    constexpr std::int64_t maxAge = 50LL * 365 * 24 * 3600 * 1000;
    const std::int64_t age = json_access::numberOr(message, key, -1);
    return age >= 0 && age <= maxAge ? std::optional(milliseconds(age)) : std::nullopt;
}

/// A missing or invalid number yields the two different fallbacks.
bool isUnsigned(const json::object &message, std::string_view key)
{
    return json_access::unsignedOr(message, key, 0) == json_access::unsignedOr(message, key, 1);
}

result<membership::peer> peerFromJson(const json::value &value)
{
    const json::object *message = value.if_object();
    if (message == nullptr) {
        return invalidPeerField("peers");
    }
    membership::peer peer;
    peer.id = instance_id(json_access::textOr(*message, "id"));
    peer.dataCentre = data_centre_id(json_access::textOr(*message, "data_centre"));
    const auto requests = endpointFromString(json_access::textOr(*message, "requests"));
    const auto heartbeats = endpointFromString(json_access::textOr(*message, "heartbeats"));
    const std::int64_t state = json_access::numberOr(*message, "state", -1);
    if (peer.id.empty() || !requests || !heartbeats || state < 0 || state > static_cast<std::int64_t>(membership::peer_state::dead)) {
        return invalidPeerField("peers");
    }
    if (!isUnsigned(*message, "incarnation")) {
        return invalidPeerField("incarnation");
    }
    peer.requests = *requests;
    peer.heartbeats = *heartbeats;
    peer.state = static_cast<membership::peer_state>(state);
    peer.incarnation = json_access::unsignedOr(*message, "incarnation", 0);
    return peer;
}

json::object assignmentToJson(const backend_server_id &backend, const membership::backend_assignment &assignment, time_point now)
{
    return { { "id", backend.str() },
        { "owner", assignment.owner.str() },
        { "accepts", assignment.acceptsNewWork },
        { "owned_ms", ageOf(assignment.ownedSince, now) },
        { "fencing", assignment.fencingNumber } };
}

} // namespace

bool sameContent(const membership::fleet_view &left, const membership::fleet_view &right)
{
    return left.config == right.config && left.selfLeaving == right.selfLeaving && left.isolated == right.isolated
        && left.backends == right.backends && left.peers == right.peers;
}

json::object viewToJson(const membership::fleet_view &view, time_point now)
{
    json::array peers;
    for (const auto &[id, peer] : view.peers) {
        peers.push_back(peerToJson(peer));
    }
    json::array backends;
    for (const auto &[id, assignment] : view.backends) {
        backends.push_back(assignmentToJson(id, assignment, now));
    }
    return { { "self", view.self.str() },
        { "data_centre", view.selfDataCentre.str() },
        { "leaving", view.selfLeaving },
        { "isolated", view.isolated },
        { "confirmed_ms", ageOf(view.confirmedAt, now) },
        { "peers", std::move(peers) },
        { "backends", std::move(backends) } };
}

result<membership::fleet_view> viewFromJson(const json::object &message, time_point requestedAt, time_point receivedAt)
{
    membership::fleet_view view;
    view.self = instance_id(json_access::textOr(message, "self"));
    view.selfDataCentre = data_centre_id(json_access::textOr(message, "data_centre"));
    view.selfLeaving = json_access::boolOr(message, "leaving", false);
    view.isolated = json_access::boolOr(message, "isolated", true);
    const auto confirmedAge = ageFrom(message, "confirmed_ms");
    const json::array *peers = json_access::arrayAt(message, "peers");
    const json::array *backends = json_access::arrayAt(message, "backends");
    if (view.self.empty() || !confirmedAge || peers == nullptr || backends == nullptr) {
        return invalidPeerField("view");
    }
    view.confirmedAt = requestedAt - *confirmedAge;
    for (const json::value &value : *peers) {
        const auto peer = peerFromJson(value);
        if (!peer) {
            return tl::unexpected(peer.error());
        }
        view.peers.emplace(peer->id, *peer);
    }
    for (const json::value &value : *backends) {
        const json::object *item = value.if_object();
        const backend_server_id backend(item != nullptr ? json_access::textOr(*item, "id") : std::string());
        const auto ownedAge = item != nullptr ? ageFrom(*item, "owned_ms") : std::nullopt;
        if (backend.empty() || !ownedAge || !isUnsigned(*item, "fencing")) {
            return invalidPeerField("backends");
        }
        membership::backend_assignment assignment;
        assignment.owner = instance_id(json_access::textOr(*item, "owner"));
        assignment.acceptsNewWork = json_access::boolOr(*item, "accepts", false);
        assignment.ownedSince = receivedAt - *ownedAge;
        assignment.fencingNumber = json_access::unsignedOr(*item, "fencing", 0);
        view.backends.emplace(backend, assignment);
    }
    return view;
}

} // namespace mustardtrail::host
