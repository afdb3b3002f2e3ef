#pragma once

#include "base/clock.h"
#include "gateway/listed_server.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// The published backend servers, and which of them may receive requests: not those that drain, nor those in data centres
/// out of service.
class server_directory
{
public:
    /// Effect of a change, for the log.
    enum class change {
        none,
        added,
        restarted,
        leaving,
        removed,
    };

    struct known_server {
        listed_server entry;
        time_point coldUntil{};
        std::optional<time_point> keptUntil; ///< Set while the server is missing from the list: the time of its removal.
    };

    change put(const listed_server &entry, time_point now);
    /// Removes the server at once when `keepUntil` has passed or the server is draining. Otherwise keeps it until `keepUntil`, and
    /// beyond when it is listed again by then.
    change remove(const backend_server_id &id, time_point now, time_point keepUntil);
    /// Applies a full listing. Servers that it lacks are kept until `keepUntil`, as servers register again after a store outage.
    void replaceAll(const std::vector<listed_server> &entries, time_point now, time_point keepUntil);
    /// Removes the servers that were not listed again in time. Returns their ids.
    std::vector<backend_server_id> expire(time_point now);

    void setOutOfService(const data_centre_id &dataCentre, bool isOut);
    void replaceOutOfService(std::set<data_centre_id> dataCentres);

    /// Returns the servers of the service that may receive new requests; of several starts at one address only the latest.
    std::vector<const known_server *> usable(const service_id &service, time_point now) const;
    /// Returns the services that have a server.
    std::set<service_id> services() const;
    const known_server *find(const backend_server_id &id) const;
    bool mayTakeWork(const known_server &server, time_point now) const;
    size_t size() const;

private:
    std::map<backend_server_id, known_server> m_servers;
    std::set<data_centre_id> m_outOfService;
};

} // namespace mustardtrail::gateway
