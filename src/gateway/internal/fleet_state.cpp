#include "gateway/fleet_state.h"

#include "base/hash.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr double unseenShare = 0.3; // Of another cell's server: slots that its own cell may have taken since its summary.
constexpr double otherCellsColdShare = 0.5; // Of a cold server's limit, for all other cells together; each knows only its own sends.

std::string_view eventName(server_directory::change change)
{
    switch (change) {
    case server_directory::change::added:
        return "server_added";
    case server_directory::change::restarted:
        return "server_restarted";
    case server_directory::change::leaving:
        return "server_leaving";
    case server_directory::change::removed:
        return "server_removed";
    case server_directory::change::none:
        break;
    }
    return "server_unchanged";
}

} // namespace

server_key keyOf(const backend_server_id &id)
{
    return hash64(id.str());
}

std::vector<prompt_part> promptParts(const std::vector<std::string> &shared, const std::string &own)
{
    std::vector<prompt_part> parts;
    for (const std::string &id : shared) {
        parts.push_back(asSharedPart(hash64(id)));
    }
    if (!own.empty()) {
        parts.push_back(asOwnPart(hash64(own)));
    }
    return parts;
}

prompt_part wholeRequestPart(std::string_view customer, std::string_view method, std::string_view target, std::string_view body)
{
    return asOwnPart(hash64(body, hash64(target, hash64(method, hash64(customer)))));
}

server_start_key startKeyOf(const listed_server &server)
{
    return hash64(server.id.str(), server.startedAt);
}

fleet_state::fleet_state(peer_address self, data_centre_id ownDataCentre, const fleet_limits &fleetLimits, fleet_event_log log)
    : limits(fleetLimits)
    , freshness(fleetLimits.maxConfigAge)
    , waiting([this](peer_address from, size_t entries, std::string_view why) {
        m_log("waiting_prompts_ignored", std::to_string(from), "entries=" + std::to_string(entries) + " why=" + std::string(why));
    })
    , rateLimits(self)
    , quarantine(
          [this](prompt_part part, bool isQuarantined) {
              m_log(isQuarantined ? "prompt_part_quarantined" : "prompt_part_released", std::to_string(part), {});
              if (isQuarantined && onQuarantined) {
                  onQuarantined(part);
              }
          },
          self)
    , resends(fleetLimits.resend, fleetLimits.resendSlackFrom)
    , peers(self, ownDataCentre)
    , m_log(std::move(log))
    , m_self(self)
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

void fleet_state::applyConfig(const config_published &published)
{
    const std::uint64_t version = published.config->version;
    if (routes && version <= routes->version()) {
        return;
    }
    routes = std::make_shared<const route_table>(published.config);
    for (const auto &[service, profile] : published.config->services) {
        m_latestNaming[service] = routes;
    }
    const std::set<service_id> withServers = servers.services();
    std::erase_if(m_latestNaming, [&](const auto &entry) {
        return entry.second != routes && !withServers.contains(entry.first);
    });
    m_log("config_in_force", std::to_string(version), "routes=" + std::to_string(published.config->routes.size()));
    if (callerLimits.apply(published.config->limits, version)) {
        m_log("limits_in_force", std::to_string(version), toString(callerLimits));
    }
    logProblems(*published.config);
}

const route_table *fleet_state::latestNaming(const service_id &service) const
{
    const auto found = m_latestNaming.find(service);
    return found == m_latestNaming.end() ? nullptr : found->second.get();
}

void fleet_state::applyServer(const listed_server &server, time_point now)
{
    m_idByKey[keyOf(server.id)] = server.id;
    const auto change = servers.put(server, now);
    if (change == server_directory::change::restarted) {
        serverSuspicion.recordSuccess(keyOf(server.id));
    }
    if (change != server_directory::change::none) {
        m_log(eventName(change), server.id.str(), "address=" + toString(server.address) + " service=" + server.service.str());
    }
}

void fleet_state::removeServer(const backend_server_id &server, time_point now, time_point keepUntil)
{
    const auto outcome = servers.remove(server, now, keepUntil);
    if (outcome != server_directory::change::none) {
        m_log(eventName(outcome), server.str(), {});
    }
}

void fleet_state::apply(const published_change &change, time_point now, time_point keepUntil)
{
    if (const auto *config = std::get_if<config_published>(&change)) {
        applyConfig(*config);
    } else if (const auto *listed = std::get_if<server_listed>(&change)) {
        applyServer(listed->server, now);
    } else if (const auto *unlisted = std::get_if<server_unlisted>(&change)) {
        removeServer(unlisted->server, now, keepUntil);
    } else if (const auto *dataCentre = std::get_if<data_centre_service_changed>(&change)) {
        servers.setOutOfService(dataCentre->dataCentre, dataCentre->isOutOfService);
        m_log(dataCentre->isOutOfService ? "data_centre_out" : "data_centre_back", dataCentre->dataCentre.str(), {});
    } else if (const auto *unreadable = std::get_if<unreadable_entry>(&change)) {
        m_log("entry_unreadable", unreadable->key, unreadable->detail);
        removeServer(unreadable->server, now, keepUntil);
    }
}

void fleet_state::applySnapshot(const std::vector<published_change> &list, time_point now, time_point keepUntil)
{
    std::vector<listed_server> listed;
    std::set<data_centre_id> outOfService;
    for (const published_change &change : list) {
        if (const auto *server = std::get_if<server_listed>(&change)) {
            applyServer(server->server, now);
            listed.push_back(server->server);
        } else if (const auto *dataCentre = std::get_if<data_centre_service_changed>(&change)) {
            outOfService.insert(dataCentre->dataCentre);
        } else {
            apply(change, now, keepUntil);
        }
    }
    servers.replaceAll(listed, now, keepUntil);
    servers.replaceOutOfService(std::move(outOfService));
}

void fleet_state::applyRestoredSnapshot(const std::vector<published_change> &list, time_point now, time_point keepUntil)
{
    servers.keepOutOfService(keepUntil);
    servers.setReadingRestoredList(true);
    applySnapshot(list, now, keepUntil);
    servers.setReadingRestoredList(false);
}

void fleet_state::expire(time_point now)
{
    for (const backend_server_id &id : servers.expire(now)) {
        m_log("server_removed", id.str(), "reason=not_listed_again");
    }
    std::erase_if(m_idByKey, [this](const auto &entry) {
        return !servers.find(entry.second);
    });
    loads.expire(now);
    waiting.expire(now);
    customerUse.expire(now);
    peers.expire(now);
    summaries.expire(now);
    quiet.expire(now);
    rateLimits.expire(now);
    quarantine.expire(now);
    paths.expire(now);
    speeds.expire(now);
    secondCopies.account.expire(now);
    secondCopies.latencies.expire(now);
}

bool fleet_state::isAtColdLimit(const server_directory::known_server &server, unsigned sentLastSecond, double share, time_point now) const
{
    const route_table *naming = latestNaming(server.entry.service);
    const service_profile *profile = naming ? naming->profileOf(server.entry.service) : nullptr;
    if (!profile || profile->coldRequestsPerSecond <= 0.0 || now >= server.coldUntil) {
        return false;
    }
    return sentLastSecond + 1.0 > profile->coldRequestsPerSecond * share;
}

placement_candidate fleet_state::candidateFor(const server_directory::known_server &server, time_point now) const
{
    placement_candidate candidate;
    candidate.key = keyOf(server.entry.id);
    candidate.slots = server.entry.slots;
    candidate.isSuspected = serverSuspicion.isSuspected(candidate.key, now) || unansweredOrders.isSilent(candidate.key, now)
        || dataCentreSuspicion.isSuspected(server.entry.dataCentre, now);
    const auto &known = loads.loads(now);
    if (const auto load = known.find(candidate.key); load != known.end()) {
        candidate.load = load->second;
    }
    const route_table *naming = latestNaming(server.entry.service);
    if (naming && naming->policyOf(server.entry.service).isCoordinated) {
        candidate.slowness = speeds.slownessOf(startKeyOf(server.entry), now, candidate.load.requests >= candidate.slots);
        setLink(candidate, server.entry);
    }
    candidate.pictureAge = loads.pictureAge(now);
    return candidate;
}

std::vector<const server_directory::known_server *> fleet_state::eligible(const service_id &service, time_point now) const
{
    const auto wantsQuiet = [&](const server_directory::known_server *server) {
        return quiet.isQuiet(startKeyOf(server->entry), now);
    };
    auto found = servers.usable(service, now);
    std::erase_if(found, wantsQuiet);
    if (found.empty()) {
        found = servers.lastResort(service, now);
        std::erase_if(found, wantsQuiet);
    }
    return found;
}

std::vector<placement_candidate> fleet_state::candidates(
    const service_id &service, const std::set<backend_server_id> &excluded, server_scope scope, time_point now) const
{
    if (excluded.empty()) {
        return allCandidates(service, scope, now);
    }
    auto found = eligible(service, now);
    std::erase_if(found, [&](const server_directory::known_server *server) {
        return excluded.contains(server->entry.id);
    });
    return makeCandidates(found, scope, now);
}

const std::vector<placement_candidate> &fleet_state::allCandidates(const service_id &service, server_scope scope, time_point now) const
{
    candidate_cache &cache = m_candidates[scope];
    const bool isCurrent = cache.at == now && cache.loadChanges == loads.changes() && cache.service == service;
    if (!isCurrent) {
        cache = { service, scope, now, loads.changes(), makeCandidates(eligible(service, now), scope, now) };
    }
    return cache.candidates;
}

std::vector<placement_candidate> fleet_state::makeCandidates(
    const std::vector<const server_directory::known_server *> &eligible, server_scope scope, time_point now) const
{
    const auto unresponsive = peers.unresponsiveDataCentres(now);
    const cell_map &cells = peers.cells();
    const cell_id ownCell = peers.ownCell();
    const double otherCells = static_cast<double>(std::max<size_t>(cells.cells().size(), 2) - 1);
    std::map<cell_id, std::map<server_key, server_load>> summarized;
    std::vector<placement_candidate> found;
    std::vector<placement_candidate> unknown;
    for (const server_directory::known_server *server : eligible) {
        placement_candidate candidate = candidateFor(*server, now);
        candidate.isAtRateLimit = isAtRateLimit(*server, now);
        candidate.isSuspected = candidate.isSuspected || unresponsive.contains(server->entry.dataCentre);
        const cell_id cell = cells.cellOfServer(candidate.key, server->entry.dataCentre);
        if (cell == ownCell) {
            candidate.isAtColdLimit = isAtColdLimit(*server, candidate.load.sentLastSecond, 1.0, now);
            found.push_back(std::move(candidate));
            continue;
        }
        if (scope == server_scope::own_cell) {
            continue;
        }
        candidate.isOfOtherCell = true;
        candidate.isAtColdLimit = isAtColdLimit(*server, candidate.load.sentLastSecond, otherCellsColdShare / otherCells, now);
        if (!summarized.contains(cell)) {
            summarized[cell] = summaries.loadsOf(cell, now);
        }
        const auto &loadsThere = summarized[cell];
        if (const auto load = loadsThere.find(candidate.key); load != loadsThere.end()) {
            candidate.load += load->second;
            candidate.unseenRequests = static_cast<unsigned>(candidate.slots * unseenShare);
            found.push_back(std::move(candidate));
        } else {
            candidate.isSuspected = true;
            unknown.push_back(std::move(candidate));
        }
    }
    return found.empty() ? unknown : found;
}

void fleet_state::recordFailure(server_key server, server_start_key start, bool isUnreachable, time_point now)
{
    const auto *known = findServer(server);
    if (known && startKeyOf(known->entry) != start) {
        return;
    }
    serverSuspicion.recordFailure(server, now);
    if (!known || !isUnreachable) {
        return;
    }
    const data_centre_id &dataCentre = known->entry.dataCentre;
    const bool wasSuspected = dataCentreSuspicion.isSuspected(dataCentre, now);
    dataCentreSuspicion.recordUnreachable(dataCentre, server, now);
    if (!wasSuspected && dataCentreSuspicion.isSuspected(dataCentre, now)) {
        m_log("data_centre_doubted", dataCentre.str(), "last=" + known->entry.id.str());
    }
}

std::optional<time_point> fleet_state::quarantinedUntil(const std::vector<prompt_part> &parts, time_point now) const
{
    const auto until = quarantine.quarantinedUntil(parts);
    if (!until || now < *until) {
        return until;
    }
    const auto held = std::find_if(parts.begin(), parts.end(), [this](prompt_part part) {
        return quarantine.quarantinedUntil({ part }).has_value();
    });
    return isTrialInstance(*held, now) ? std::nullopt : until;
}

// One instance of the fleet, so that a part that still crashes servers ends one server and not one for each instance.
bool fleet_state::isTrialInstance(prompt_part part, time_point now) const
{
    const auto weightOf = [part](peer_address instance) {
        return rendezvousWeight(std::to_string(part), std::to_string(instance));
    };
    const std::uint64_t own = weightOf(m_self);
    for (const auto &[dataCentre, instances] : peers.alive(now)) {
        const bool hasHeavier = std::any_of(instances.begin(), instances.end(), [&](peer_address instance) {
            return instance != m_self && weightOf(instance) > own;
        });
        if (hasHeavier) {
            return false;
        }
    }
    return true;
}

void fleet_state::recordAnswer(server_key server)
{
    if (const auto *known = findServer(server)) {
        dataCentreSuspicion.recordAnswer(known->entry.dataCentre);
    }
}

const server_directory::known_server *fleet_state::findServer(server_key key) const
{
    const auto found = m_idByKey.find(key);
    return found == m_idByKey.end() ? nullptr : servers.find(found->second);
}

std::uint64_t fleet_state::configVersion() const
{
    return routes ? routes->version() : 0;
}

void fleet_state::confirmConfig(time_point queriedAt, time_point now)
{
    if (peers.newestConfig(now) <= configVersion()) {
        freshness.confirm(queriedAt);
    }
}

bool fleet_state::mayServe(time_point now) const
{
    const bool wasEverConfirmed = freshness.confirmedAt().has_value(); // The first list may be of seconds ago.
    return routes && wasEverConfirmed && (!routes->needsKeys() || freshness.isFresh(now));
}

} // namespace mustardtrail::gateway
