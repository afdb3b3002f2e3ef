#pragma once

#include "node/tests/fleet.h"

namespace mustardtrail::node::testing
{

/// Random schedule of bursts around one kind of fault; the same seed gives the same one.
class heavy_schedule
{
public:
    explicit heavy_schedule(std::uint64_t seed);

    void record();
    void run();
    const session_trace &trace();
    std::uint64_t count(const std::string &what) const;

private:
    enum class theme {
        cold_engines,
        lost_instances,
        changes,
    };

    void burst();
    void request(size_t node, const char *workClass);
    void coldEngine();
    void lostInstance();
    void change();
    std::chrono::milliseconds someTime(unsigned least, unsigned most);

    random_source m_random;
    fleet m_fleet;
    theme m_theme;
    unsigned m_requests = 0;
};

} // namespace mustardtrail::node::testing
