#include "placement/bench/fake_engine.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::placement::bench
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr token_count chunkTokens = 2048;
constexpr double prefillTokensPerSecond = 50000;
constexpr seconds_double iterationBase{ 0.006 };
constexpr seconds_double decodePerStream{ 0.00008 };
constexpr seconds_double decodePerHeldToken{ 1e-8 };
constexpr double coldSlowdown = 5;
constexpr int completionsUntilWarm = 8;

} // namespace

fake_engine::fake_engine(event_loop &loop, backend_server_id id, observer callbacks)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_observer(std::move(callbacks))
{
}

void fake_engine::submit(const work_item &work, int priority, std::uint64_t fencingNumber)
{
    if (m_cold && outstanding() >= engineColdRequests) {
        ++m_coldOverloads;
    }
    const auto place = std::find_if(m_streams.begin(), m_streams.end(), [&](const stream &other) {
        return other.priority > priority;
    });
    m_streams.insert(place, { work, priority, fencingNumber, work.promptTokens, work.maxNewTokens, false });
    if (!m_busy) {
        startIteration();
    }
}

void fake_engine::turnCold()
{
    m_cold = true;
    m_completedWhileCold = 0;
}

void fake_engine::restart()
{
    turnCold();
    m_reportsCold = true;
    ++m_incarnation;
    ++m_iteration;
    m_busy = false;
    m_usedTokens = 0;
    for (const stream &item : std::exchange(m_streams, {})) {
        m_observer.dropped(item.work);
    }
}

engine_report fake_engine::report() const
{
    engine_report result;
    result.backend = m_id;
    result.incarnation = m_incarnation;
    result.takenAt = m_loop.now();
    result.warm = !m_reportsCold;
    result.runningRequests = outstanding();
    result.memoryTokens = engineMemoryTokens;
    result.usedTokens = m_usedTokens;
    result.prefillTokensPerSecond = prefillTokensPerSecond;
    for (const stream &item : m_streams) {
        result.queuedPrefillTokens += item.prefillLeft;
        result.highestFencingNumber = std::max(result.highestFencingNumber, item.fencingNumber);
        result.streams.push_back({ item.work.attempt, item.work.promptTokens + item.work.maxNewTokens, item.fencingNumber });
    }
    return result;
}

const backend_server_id &fake_engine::id() const
{
    return m_id;
}

int fake_engine::outstanding() const
{
    return static_cast<int>(m_streams.size());
}

int fake_engine::coldOverloads() const
{
    return m_coldOverloads;
}

void fake_engine::admitWaiting()
{
    for (stream &item : m_streams) {
        const token_count need = item.work.promptTokens + item.work.maxNewTokens;
        if (!item.admitted && m_usedTokens + need <= engineMemoryTokens) {
            item.admitted = true;
            m_usedTokens += need;
        }
    }
}

void fake_engine::startIteration()
{
    admitWaiting();
    m_busy = !m_streams.empty();
    if (!m_busy) {
        return;
    }
    token_count prefill = chunkTokens;
    seconds_double time = iterationBase + decodePerHeldToken * static_cast<double>(m_usedTokens);
    for (stream &item : m_streams) {
        if (item.admitted && item.prefillLeft == 0) {
            time += decodePerStream;
        } else if (item.admitted) {
            prefill -= std::min(prefill, item.prefillLeft);
        }
    }
    time += seconds_double(static_cast<double>(chunkTokens - prefill) / prefillTokensPerSecond);
    if (m_cold) {
        time *= coldSlowdown;
    }
    m_loop.after(std::chrono::duration_cast<std::chrono::nanoseconds>(time), [this, iteration = m_iteration] {
        endIteration(iteration);
    });
}

void fake_engine::endIteration(std::uint64_t iteration)
{
    if (iteration != m_iteration) {
        return;
    }
    token_count prefill = chunkTokens;
    for (auto item = m_streams.begin(); item != m_streams.end();) {
        const auto current = item++;
        if (!current->admitted) {
            continue;
        }
        if (current->prefillLeft > 0) {
            const token_count done = std::min(prefill, current->prefillLeft);
            prefill -= done;
            current->prefillLeft -= done;
            if (done > 0 && current->prefillLeft == 0) {
                --current->outputLeft;
                m_observer.firstToken(current->work);
            }
        } else {
            --current->outputLeft;
        }
        if (current->prefillLeft == 0 && current->outputLeft <= 0) {
            completeOne(current);
        }
    }
    startIteration();
}

void fake_engine::completeOne(std::list<stream>::iterator item)
{
    const work_item work = item->work;
    m_usedTokens -= work.promptTokens + work.maxNewTokens;
    m_streams.erase(item);
    if (m_cold && ++m_completedWhileCold >= completionsUntilWarm) {
        m_cold = false;
        m_reportsCold = false;
    }
    m_observer.finished(work);
}

} // namespace mustardtrail::placement::bench
