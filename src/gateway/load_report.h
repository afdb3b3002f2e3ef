#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "gateway/server_work.h"
#include "gateway/store_relay.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// What one instance tells the others: the whole of its work, so that a lost datagram needs no repair.
struct load_report {
    instance_id sender;
    data_centre_id dataCentre;
    peer_address address = 0;
    std::uint64_t incarnation = 0; ///< Drawn at the start of the process.
    std::uint32_t sequence = 0;
    bool isLeaving = false; ///< Stops soon; others forget it without a wait.
    std::vector<peer_address>
        knownPeers; ///< Other instances that it heard lately; only in reports without a change, as they seldom change.
    std::vector<server_work> work;
    std::vector<server_key> suspectedServers; ///< Backend servers that failed it lately.
    std::chrono::microseconds clock{ 0 }; ///< The sender's monotonic clock; means nothing to others but as an echo.
    std::optional<store_relay> relay;
    std::uint64_t storeRevision = 0; ///< Up to which the sender knows the platform's store.
};

std::string encodeLoadReport(const load_report &report, time_point now);
result<load_report> decodeLoadReport(const std::string &bytes, time_point now);

} // namespace mustardtrail::gateway
