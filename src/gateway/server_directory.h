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
        std::optional<time_point> leavingSince; ///< First sign that this start of the server leaves; an older entry does not undo it.
        time_point listedReadyAt{}; ///< Of the latest entry without a start; earlier news may be of an earlier start.
        bool isUnconfirmed = false; ///< Known to have gone, but listed by a store that was restored from an older copy.
    };

    change put(const listed_server &entry, time_point now);
    /// Records that the server said itself that it leaves. Returns false when that was known.
    bool recordLeaving(const backend_server_id &id, time_point now);
    /// Records that the server was leaving at `since`, as another instance knows. Ignores news that may be of an earlier start.
    /// Returns false when it changed nothing.
    bool recordLeavingElsewhere(const backend_server_id &id, std::optional<time_point> since, time_point now);
    /// Removes the server at once when `keepUntil` has passed or the server is draining. Otherwise keeps it until `keepUntil`, and
    /// beyond when it is listed again by then.
    change remove(const backend_server_id &id, time_point now, time_point keepUntil);
    /// Removes a server that is only kept because an outage of the store may have lost its entry. Returns false if it is not.
    bool removeKept(const backend_server_id &id, time_point now);
    /// Applies a full listing. Servers that it lacks are kept until `keepUntil`, as servers register again after a store outage.
    void replaceAll(const std::vector<listed_server> &entries, time_point now, time_point keepUntil);
    /// While the list of a store is read that was restored from an older copy: a server in it that had left is not used until
    /// it writes its entry again.
    void setReadingRestoredList(bool isReading);
    /// Removes the servers that were not listed again in time. Returns their ids.
    std::vector<backend_server_id> expire(time_point now);

    void setOutOfService(const data_centre_id &dataCentre, bool isOut);
    void replaceOutOfService(std::set<data_centre_id> dataCentres);
    /// Keeps the data centres that are out of service now out of it until then, whatever is listed.
    void keepOutOfService(time_point until);

    /// Returns the servers of the service that may receive new requests; of several starts at one address only the latest.
    std::vector<const known_server *> usable(const service_id &service, time_point now) const;
    /// Returns the servers of the service that announced in an answer, at most `lastResortTime` ago, that they leave.
    std::vector<const known_server *> lastResort(const service_id &service, time_point now) const;
    /// Returns the servers whose leaving became known at most `maxAge` ago.
    std::vector<const known_server *> leaving(std::chrono::milliseconds maxAge, time_point now) const;
    /// Returns the servers that are missing in the list and kept for a while.
    std::vector<const known_server *> kept() const;
    /// Returns the servers that were removed at most `maxAge` ago, with the time of their start.
    std::vector<std::pair<backend_server_id, std::uint64_t>> departed(std::chrono::milliseconds maxAge, time_point now) const;
    /// Returns the servers that are not known to leave.
    std::vector<const known_server *> staying() const;
    /// Returns the services that have a server.
    std::set<service_id> services() const;
    const known_server *find(const backend_server_id &id) const;
    /// Whether a known server has this address.
    bool isKnownAddress(const endpoint &address) const;
    bool isInService(const data_centre_id &dataCentre, time_point now) const;
    bool mayTakeWork(const known_server &server, time_point now) const;
    size_t size() const;

    static constexpr std::chrono::milliseconds lastResortTime{ 500 }; ///< Well below the time that a leaving server still serves.
    static constexpr std::chrono::minutes departedRetention{ 1 }; ///< Longer than the history that a restored store loses.

private:
    struct departure {
        std::uint64_t startedAt = 0;
        time_point at{};
    };

    std::map<backend_server_id, known_server> m_servers;
    std::map<backend_server_id, departure> m_departed;
    bool m_isReadingRestoredList = false;
    std::set<data_centre_id> m_outOfService;
    std::map<data_centre_id, time_point> m_keptOutOfServiceUntil;
};

} // namespace mustardtrail::gateway
