#pragma once

#include "base/clock.h"
#include "gateway/listed_server.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Backend servers that may take work: the published list, less those that leave and the data centres out of service.
class server_directory
{
public:
    /// What one change did, for the log.
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
        std::optional<time_point> keptUntil; ///< Missing in the list, and taken for gone from here on.
    };

    change put(const listed_server &entry, time_point now);
    /// Removes the server. With a later `keepUntil` it stays until then, unless it was leaving, and longer when it is listed again.
    change remove(const backend_server_id &id, time_point now, time_point keepUntil);
    /// A whole list. Entries that it lacks are kept until `keepUntil`, as servers write theirs again after an outage.
    void replaceAll(const std::vector<listed_server> &entries, time_point now, time_point keepUntil);
    /// Removes what stayed missing. Returns the ids.
    std::vector<backend_server_id> expire(time_point now);

    void setOutOfService(const data_centre_id &dataCentre, bool isOut);
    void replaceOutOfService(std::set<data_centre_id> dataCentres);

    /// Servers of the service that may get new work; of several starts at one address only the last.
    std::vector<const known_server *> usable(const service_id &service, time_point now) const;
    const known_server *find(const backend_server_id &id) const;
    bool mayTakeWork(const known_server &server, time_point now) const;
    size_t size() const;

private:
    std::map<backend_server_id, known_server> m_servers;
    std::set<data_centre_id> m_outOfService;
};

} // namespace mustardtrail::gateway
