#pragma once

#include "standin/engine/engine_options.h"
#include "standin/engine/engine_stream.h"
#include "standin/engine/kv_group.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace mustardtrail::standin
{

/// What an engine does with time: continuous batching with chunked prefill, priorities, limited memory,
/// cold start, prefix cache, KV groups. Holds no socket; the program calls advance().
class engine_model
{
public:
    using stream_pointer = std::shared_ptr<engine_stream>;

    engine_model(engine_options options, std::uint64_t incarnation);

    void advance(time_point now);

    /// Nothing when refused; the reason is "duplicate", "full", "too_long" or "refusing".
    stream_pointer submit(engine_stream request, std::string &reason);
    bool cancel(const std::string &attempt);
    stream_pointer find(const std::string &attempt) const;

    bool reserve(const std::string &group, token_count tokens, time_point leaseEnd);
    kv_group *findGroup(const std::string &group);
    bool releaseGroup(const std::string &group);

    void restart();
    void turnCold();
    void dropStreams();

    engine_options options;
    bool refusing = false;
    double speed = 1;
    std::function<void()> onProgress; ///< Called when a stream changed.

    token_count usedTokens() const;
    boost::json::object loadNow() const;
    /// Report as it was a lag ago.
    boost::json::object laggedReport(time_point now) const;
    boost::json::object streamsReport() const;
    boost::json::object groupsReport(time_point now) const;
    boost::json::object eventsFrom(std::uint64_t from, time_point now) const;
    boost::json::object counters() const;
    void skipEvents(std::uint64_t count);
    std::uint64_t incarnation() const;
    std::uint64_t highestFencing = 0;

private:
    struct cache_event {
        std::uint64_t sequence = 0;
        bool stored = false;
        std::string prefix;
        time_point at{};
    };
    struct taken_report {
        time_point at{};
        boost::json::object report;
    };

    int runningCount() const;
    void startQueued();
    void prefill(double tokens);
    void decode(double seconds);
    void finish(engine_stream &stream);
    void touchPrefix(const std::string &prefix);
    void expire(time_point now);
    void keepReport(time_point now);
    engine_stream *nextToPrefill();

    std::uint64_t m_incarnation;
    time_point m_now{};
    bool m_started = false;
    bool m_warm = false;
    int m_completedSinceCold = 0;
    std::uint64_t m_nextOrder = 0;
    std::map<std::string, stream_pointer> m_streams;
    std::map<std::string, kv_group> m_groups;
    std::deque<std::string> m_prefixes; ///< Most recent first.
    std::deque<cache_event> m_events;
    std::uint64_t m_nextEvent = 1;
    std::deque<taken_report> m_reports;
    std::int64_t m_requests = 0;
    std::int64_t m_mostAtOnce = 0;
    std::int64_t m_mostAtOnceCold = 0;
    std::int64_t m_fallenOver = 0;
    std::int64_t m_duplicates = 0;
};

} // namespace mustardtrail::standin
