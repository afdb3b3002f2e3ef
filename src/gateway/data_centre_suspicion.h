#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Suspects a data centre of being cut off when several of its backend servers were unreachable within a short window and
/// none has answered since. Guards against a network partition that refuses connections: otherwise each request tries one
/// unreachable server after another until the reports of the instances there time out.
class data_centre_suspicion
{
public:
    void recordUnreachable(const data_centre_id &dataCentre, server_key server, time_point now);
    /// A backend server of the data centre answered: clears the suspicion.
    void recordAnswer(const data_centre_id &dataCentre);
    bool isSuspected(const data_centre_id &dataCentre, time_point now) const;

    static constexpr size_t minUnreachableServers = 2; ///< A single unreachable server has more likely crashed.
    static constexpr std::chrono::milliseconds failureWindow{ 300 }; ///< Failures within this time count together; covers a few requests.
    static constexpr std::chrono::milliseconds suspicionDuration{
        1'000
    }; ///< Then a request tries again; a longer partition is detected by missing reports of instances.

private:
    std::map<data_centre_id, std::map<server_key, time_point>> m_failedAt;
    std::map<data_centre_id, time_point> m_suspectedUntil;
};

} // namespace mustardtrail::gateway
