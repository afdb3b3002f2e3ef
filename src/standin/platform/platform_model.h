#pragma once

#include "base/clock.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace mustardtrail::standin
{

/// What the platform publishes, and how badly. Holds no socket.
class platform_model
{
public:
    enum class config_mode {
        up,
        down,
        stale, ///< Answers as of the moment the mode was set.
        slow,
        garbage,
        half, ///< Half of the answer's bytes.
        older, ///< Answers as of the first revision.
    };

    void set(const std::string &key, boost::json::value value);
    void setLive(const std::string &id, boost::json::object entry, time_point now);
    void removeLive(const std::string &id, time_point now);
    bool setMode(const std::string &name);

    /// Counts a read against the rate; false: refuse it.
    bool countRead(time_point now);
    /// Text of the answer to a read after the revision, as the mode makes it.
    std::string configText(std::int64_t after) const;
    /// True when a watch after the revision need not wait.
    bool hasChangeAfter(std::int64_t after) const;
    boost::json::object liveAnswer(time_point now) const;
    boost::json::object counters() const;

    /// Takes bytes of the weight store; false: above its rate.
    bool takeWeights(std::int64_t bytes, time_point now);

    config_mode mode = config_mode::up;
    bool liveIsDown = false;
    std::chrono::milliseconds liveLag{ 1'000 };
    std::int64_t readsPerSecond = 2'000;
    std::int64_t weightBytesPerSecond = 1'000'000'000;
    int openWatches = 0;

private:
    struct config_value {
        std::int64_t revision = 0;
        boost::json::value value;
    };
    struct live_state {
        time_point at{};
        boost::json::object entries;
    };

    std::int64_t visibleRevision() const;

    std::int64_t m_revision = 0;
    std::int64_t m_frozenRevision = 0;
    std::map<std::string, std::deque<config_value>> m_values; ///< History of each key, oldest first.
    boost::json::object m_live;
    std::deque<live_state> m_liveHistory;
    time_point m_secondStart{};
    std::int64_t m_readsThisSecond = 0;
    std::int64_t m_mostReadsInASecond = 0;
    std::int64_t m_reads = 0;
    std::int64_t m_refused = 0;
    time_point m_weightsAt{};
    double m_weightBytes = 0;
};

} // namespace mustardtrail::standin
