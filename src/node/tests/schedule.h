#pragma once

#include "node/tests/fleet.h"

namespace mustardtrail::node::testing
{

/// Random schedule of requests and faults; the same seed gives the same one.
class schedule
{
public:
    explicit schedule(std::uint64_t seed);

    void record();
    void run();
    const session_trace &trace();
    std::uint64_t count(const std::string &what) const;

private:
    void request();
    void again();
    void fault();
    std::chrono::milliseconds someTime(unsigned longest);

    random_source m_random;
    fleet m_fleet;
    unsigned m_faultPercent;
    unsigned m_requests = 0;
    bool m_stopped = false;
    std::vector<request::caller_request> m_keyed;
};

} // namespace mustardtrail::node::testing
