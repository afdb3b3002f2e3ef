#include "membership/internal/view_builder.h"

#include "membership/ownership.h"

namespace mustardtrail::membership
{

namespace
{

bool ownsWork(const member &known)
{
    return (known.state() == peer_state::alive || known.state() == peer_state::suspect) && !known.listLeaving;
}

peer shown(const member &known)
{
    peer result = known.news.member;
    if (known.listLeaving && result.state != peer_state::dead) {
        result.state = peer_state::leaving;
    }
    return result;
}

bool acceptsNewWork(const config::backend_server &server, const view_inputs &inputs)
{
    const auto dataCentre = inputs.config->dataCentres.find(server.dataCentre);
    const bool dataCentreIn = dataCentre == inputs.config->dataCentres.end() || dataCentre->second.inService;
    const bool listed = inputs.listings.backendState(server.id.str()) == listing_state::live;
    return (server.inService && dataCentreIn && listed) || !inputs.drains;
}

const std::vector<instance_id> &candidatesIn(const owner_candidates &candidates, const data_centre_id &dataCentre)
{
    static const std::vector<instance_id> nobody;
    const auto found = candidates.find(dataCentre);
    return found == candidates.end() ? nobody : found->second;
}

std::set<data_centre_id> unchangedIn(const owner_candidates &before, const owner_candidates &after)
{
    std::set<data_centre_id> unchanged;
    for (const auto &[dataCentre, candidates] : after) {
        if (candidatesIn(before, dataCentre) == candidates) {
            unchanged.insert(dataCentre);
        }
    }
    return unchanged;
}

} // namespace

owner_candidates ownerCandidates(const member_table &members, const config::configuration &config)
{
    owner_candidates candidates;
    const auto add = [&](const peer &instance) {
        if (!config.instancesOutOfService.contains(instance.id)) {
            candidates[instance.dataCentre].push_back(instance.id);
        }
    };
    for (const auto &[id, known] : members.members()) {
        if (ownsWork(known)) {
            add(known.news.member);
        }
    }
    if (!members.isSelfLeaving()) {
        add(members.self().member);
    }
    return candidates;
}

fleet_view buildView(const view_inputs &inputs, const fleet_view *before, owner_candidates &candidates)
{
    fleet_view view;
    view.config = inputs.config;
    view.self = inputs.members.self().member.id;
    view.selfDataCentre = inputs.members.self().member.dataCentre;
    view.selfLeaving = inputs.members.isSelfLeaving();
    for (const auto &[id, known] : inputs.members.members()) {
        view.peers.emplace_hint(view.peers.end(), id, shown(known));
    }
    const owner_candidates old = std::exchange(candidates, ownerCandidates(inputs.members, *inputs.config));
    const std::set<data_centre_id> unchanged
        = before != nullptr && before->config == inputs.config ? unchangedIn(old, candidates) : std::set<data_centre_id>();
    backend_assignments::map &backends = view.backends.edit();
    for (const auto &[id, server] : inputs.config->backendServers) {
        const std::vector<instance_id> &choice = candidatesIn(candidates, server.dataCentre);
        backend_assignment assignment;
        assignment.owner = unchanged.contains(server.dataCentre) ? before->backends.at(id).owner : ownerOf(id, choice);
        assignment.acceptsNewWork = acceptsNewWork(server, inputs);
        backends.emplace_hint(backends.end(), id, assignment);
    }
    return view;
}

std::set<backend_server_id> ownedBySelf(const fleet_view &view)
{
    std::set<backend_server_id> owned;
    for (const auto &[id, assignment] : view.backends) {
        if (assignment.owner == view.self) {
            owned.insert(owned.end(), id);
        }
    }
    return owned;
}

void addClaims(fleet_view &view, const ownership_record &record)
{
    backend_assignments::map &backends = view.backends.edit();
    for (const auto &[id, claim] : record.claims()) {
        const auto found = backends.find(id);
        if (found != backends.end()) {
            found->second.ownedSince = claim.since;
            found->second.fencingNumber = claim.fencingNumber;
        }
    }
}

} // namespace mustardtrail::membership
