#include "gateway/server_directory.h"

namespace mustardtrail::gateway
{

server_directory::change server_directory::put(const listed_server &entry, time_point now)
{
    auto [at, isNew] = m_servers.try_emplace(entry.id);
    known_server &server = at->second;
    const bool restarted = !isNew && server.entry.startedAt != entry.startedAt;
    // Without a known start a later entry may be that of a new one; a restored store lists earlier ones.
    const bool mayBeNewStart = entry.startedAt == 0 && !entry.isLeaving && !m_isReadingRestoredList;
    if (restarted || mayBeNewStart) {
        server.leavingSince.reset();
    }
    if (mayBeNewStart) {
        server.listedReadyAt = now;
    }
    const bool startedDraining = entry.isLeaving && !server.leavingSince;
    if (startedDraining) {
        server.leavingSince = now;
    }
    server.entry = entry;
    const auto departed = m_departed.find(entry.id);
    const bool hasDeparted = departed != m_departed.end() && departed->second.startedAt == entry.startedAt;
    server.isUnconfirmed = m_isReadingRestoredList && hasDeparted;
    if (!m_isReadingRestoredList) {
        m_departed.erase(entry.id);
    }
    server.coldUntil = now + entry.coldLeft;
    server.keptUntil.reset();
    if (startedDraining) {
        return change::leaving;
    }
    if (isNew) {
        return change::added;
    }
    return restarted ? change::restarted : change::none;
}

server_directory::change server_directory::remove(const backend_server_id &id, time_point now, time_point keepUntil)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return change::none;
    }
    if (keepUntil > now && !found->second.leavingSince) {
        found->second.keptUntil = found->second.keptUntil.value_or(keepUntil);
        return change::none;
    }
    m_departed[id] = { found->second.entry.startedAt, now };
    m_servers.erase(found);
    return change::removed;
}

bool server_directory::removeKept(const backend_server_id &id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !found->second.keptUntil) {
        return false;
    }
    m_departed[id] = { found->second.entry.startedAt, now };
    m_servers.erase(found);
    return true;
}

bool server_directory::recordLeaving(const backend_server_id &id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.leavingSince) {
        return false;
    }
    found->second.leavingSince = now;
    return true;
}

bool server_directory::recordLeavingElsewhere(const backend_server_id &id, std::optional<time_point> since, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return false;
    }
    const known_server &server = found->second;
    if (server.entry.startedAt == 0 && (!since || *since <= server.listedReadyAt)) {
        return false;
    }
    return recordLeaving(id, since.value_or(now));
}

void server_directory::setReadingRestoredList(bool isReading)
{
    m_isReadingRestoredList = isReading;
}

void server_directory::replaceAll(const std::vector<listed_server> &entries, time_point now, time_point keepUntil)
{
    std::set<backend_server_id> present;
    for (const listed_server &entry : entries) {
        put(entry, now);
        present.insert(entry.id);
    }
    for (auto &[id, server] : m_servers) {
        if (!present.contains(id)) {
            server.keptUntil = server.keptUntil.value_or(keepUntil);
        }
    }
}

std::vector<backend_server_id> server_directory::expire(time_point now)
{
    std::vector<backend_server_id> expired;
    for (const auto &[id, server] : m_servers) {
        if (server.keptUntil && now >= *server.keptUntil) {
            expired.push_back(id);
        }
    }
    for (const backend_server_id &id : expired) {
        m_departed[id] = { m_servers.at(id).entry.startedAt, now };
        m_servers.erase(id);
    }
    std::erase_if(m_departed, [now](const auto &entry) {
        return now - entry.second.at > departedRetention;
    });
    return expired;
}

void server_directory::setOutOfService(const data_centre_id &dataCentre, bool isOut)
{
    if (isOut) {
        m_outOfService.insert(dataCentre);
    } else {
        m_outOfService.erase(dataCentre);
    }
}

void server_directory::replaceOutOfService(std::set<data_centre_id> dataCentres)
{
    m_outOfService = std::move(dataCentres);
}

void server_directory::keepOutOfService(time_point until)
{
    for (const data_centre_id &dataCentre : m_outOfService) {
        m_keptOutOfServiceUntil[dataCentre] = until;
    }
}

bool server_directory::isKnownAddress(const endpoint &address) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&address](const auto &entry) {
        return entry.second.entry.address == address;
    });
}

bool server_directory::isInService(const data_centre_id &dataCentre, time_point now) const
{
    const auto kept = m_keptOutOfServiceUntil.find(dataCentre);
    const bool isKeptOut = kept != m_keptOutOfServiceUntil.end() && now < kept->second;
    return !isKeptOut && !m_outOfService.contains(dataCentre);
}

std::vector<const server_directory::known_server *> server_directory::usable(const service_id &service, time_point now) const
{
    std::map<endpoint, const known_server *> latestAtAddress;
    for (const auto &[id, server] : m_servers) {
        const known_server *&latest = latestAtAddress[server.entry.address];
        if (!latest || latest->entry.startedAt < server.entry.startedAt) {
            latest = &server;
        }
    }
    std::vector<const known_server *> found;
    for (const auto &[address, server] : latestAtAddress) {
        if (server->entry.service == service && mayTakeWork(*server, now)) {
            found.push_back(server);
        }
    }
    return found;
}

std::set<service_id> server_directory::services() const
{
    std::set<service_id> found;
    for (const auto &[id, server] : m_servers) {
        found.insert(server.entry.service);
    }
    return found;
}

const server_directory::known_server *server_directory::find(const backend_server_id &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool server_directory::mayTakeWork(const known_server &server, time_point now) const
{
    const bool isExpired = server.keptUntil && now >= *server.keptUntil;
    return !isExpired && !server.leavingSince && !server.isUnconfirmed && isInService(server.entry.dataCentre, now);
}

std::vector<const server_directory::known_server *> server_directory::lastResort(const service_id &service, time_point now) const
{
    std::vector<const known_server *> found;
    for (const auto &[id, server] : m_servers) {
        const bool hasAnnounced = server.leavingSince && !server.entry.isLeaving && !server.keptUntil;
        if (hasAnnounced && now - *server.leavingSince < lastResortTime && server.entry.service == service
            && isInService(server.entry.dataCentre, now)) {
            found.push_back(&server);
        }
    }
    return found;
}

std::vector<const server_directory::known_server *> server_directory::leaving(std::chrono::milliseconds maxAge, time_point now) const
{
    std::vector<const known_server *> found;
    for (const auto &[id, server] : m_servers) {
        if (server.leavingSince && now - *server.leavingSince < maxAge) {
            found.push_back(&server);
        }
    }
    return found;
}

std::vector<const server_directory::known_server *> server_directory::kept() const
{
    std::vector<const known_server *> found;
    for (const auto &[id, server] : m_servers) {
        if (server.keptUntil) {
            found.push_back(&server);
        }
    }
    return found;
}

std::vector<std::pair<backend_server_id, std::uint64_t>> server_directory::departed(std::chrono::milliseconds maxAge, time_point now) const
{
    std::vector<std::pair<backend_server_id, std::uint64_t>> found;
    for (const auto &[id, each] : m_departed) {
        if (now - each.at < maxAge) {
            found.emplace_back(id, each.startedAt);
        }
    }
    return found;
}

std::vector<const server_directory::known_server *> server_directory::staying() const
{
    std::vector<const known_server *> found;
    for (const auto &[id, server] : m_servers) {
        if (!server.leavingSince) {
            found.push_back(&server);
        }
    }
    return found;
}

size_t server_directory::size() const
{
    return m_servers.size();
}

} // namespace mustardtrail::gateway
