#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "gateway/cell_summary.h"
#include "gateway/crash_evidence.h"
#include "gateway/customer_prefill.h"
#include "gateway/latency_count.h"
#include "gateway/leaving_server_news.h"
#include "gateway/rate_limit_news.h"
#include "gateway/second_copy_use.h"
#include "gateway/second_send_ask.h"
#include "gateway/second_send_loan.h"
#include "gateway/server_work.h"
#include "gateway/slow_server_news.h"
#include "gateway/store_position.h"
#include "gateway/store_relay.h"
#include "gateway/waiting_prompt.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Instances by data centre.
using instance_list = std::map<data_centre_id, std::vector<peer_address>>;

/// Report of one instance to the others. It holds all of the instance's work that concerns the receiver, so that a lost
/// datagram needs no resend.
struct load_report {
    instance_id sender;
    data_centre_id dataCentre;
    peer_address address = 0;
    std::uint64_t incarnation = 0; ///< Random, chosen at the start of the process.
    std::uint32_t sequence = 0;
    bool isLeaving = false; ///< The sender stops soon; the others remove it without waiting for a time-out.
    std::vector<server_work> work; ///< To the sender's cell all its work, to another cell the work at that cell's servers.
    std::vector<waiting_prompt> waitingPrompts; ///< Of the sender, the first in its order; to its own cell only.
    std::vector<server_key> suspectedServers; ///< Backend servers that recently failed the sender's requests.
    std::vector<leaving_server_news> leavingServers; ///< Backend servers that announced lately that they leave.
    std::vector<server_start_key> departedServers; ///< Backend servers that the sender saw go lately; in periodic reports only.
    bool hasLostServerPaths = false; ///< The sender has lost its own paths to backend servers, so it is no good relay.
    quarantine_news quarantine; ///< Of the parts of prompts that crash backend servers.
    std::vector<rate_limit_news> rateLimits; ///< Of servers that name a limit.
    std::vector<customer_prefill> customerUse; ///< The largest, as reported by the sender; in periodic reports only.
    std::vector<slow_server_news> slowServers; ///< Engines that the sender itself observed to be slow.
    std::vector<second_copy_use> secondCopyUse; ///< In periodic reports and after a copy; only while copies are enabled.
    std::vector<latency_count> latencyCounts; ///< Every 2 s; only while copies are enabled.
    std::vector<second_send_ask> secondSendAsks; ///< While sends wait for a loan; each in one report, to the sender's cell.
    std::vector<second_send_loan> secondSendLoans; ///< The answer, to the instance that asked.
    std::chrono::microseconds clock{ 0 }; ///< The sender's monotonic clock; the others only echo it.
    std::optional<store_relay> relay;
    store_position storePosition; ///< Latest change of the platform's store that the sender has.
    bool isStorePositionDamaged = false; ///< Impossible numbers were left out: the position, the relay or both.
    std::uint64_t configVersion = 0; ///< Of the configuration in force at the sender; 0 without one.
    std::vector<cell_summary> summaries;
    bool areSummariesRelayed = false; ///< They came from another cell; the receiver passes them on only if not.
    bool wantsInstances = false; ///< Asks the receiver for the instances that it knows.
    instance_list instances; ///< The answer to such a question.
};

std::string encodeLoadReport(const load_report &report, time_point now);
result<load_report> decodeLoadReport(const std::string &bytes, time_point now);

} // namespace mustardtrail::gateway
