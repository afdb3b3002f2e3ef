#pragma once

#include "placement/bench/event_loop.h"
#include "placement/engine_report.h"
#include "placement/work_item.h"

#include <deque>
#include <functional>
#include <list>

namespace mustardtrail::placement::bench
{

/// Simulated engine with continuous batching, chunked prefill in order of priority, and KV memory.
class fake_engine
{
public:
    struct observer {
        std::function<void(const work_item &)> firstToken;
        std::function<void(const work_item &)> finished;
        std::function<void(const work_item &)> dropped; ///< The engine restarted while the request ran.
    };

    fake_engine(event_loop &loop, backend_server_id id, observer callbacks);

    void submit(const work_item &work, int priority, std::uint64_t fencingNumber);
    /// Slows the engine down until it has completed a few requests; its reports still say warm.
    void turnCold();
    /// Drops all streams; the engine is cold afterwards and reports it.
    void restart();
    engine_report report() const;
    const backend_server_id &id() const;
    int outstanding() const;
    /// Number of requests that arrived while the engine was cold and already at its cold limit.
    int coldOverloads() const;

private:
    struct stream {
        work_item work;
        int priority = 0;
        std::uint64_t fencingNumber = 0;
        token_count prefillLeft = 0;
        token_count outputLeft = 0;
        bool admitted = false; ///< Its KV memory is allocated.
    };

    void admitWaiting();
    void startIteration();
    void endIteration(std::uint64_t iteration);
    void completeOne(std::list<stream>::iterator item);

    event_loop &m_loop;
    backend_server_id m_id;
    observer m_observer;
    std::list<stream> m_streams; ///< Sorted by priority, then by arrival.
    bool m_busy = false;
    std::uint64_t m_incarnation = 1;
    token_count m_usedTokens = 0;
    int m_completedWhileCold = 0;
    std::uint64_t m_iteration = 0; ///< Incremented by a restart to discard the iteration in progress.
    bool m_cold = false;
    bool m_reportsCold = false;
    int m_coldOverloads = 0;
};

constexpr token_count engineMemoryTokens = 400000;
constexpr int engineColdRequests = 2;
constexpr int engineWarmRequests = 48;

} // namespace mustardtrail::placement::bench
