#include "group/reservation_table.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::group
{

reservation_table::reservation_table(reservation_options options, engine_memory_hook memory)
    : m_options(options)
    , m_memory(std::move(memory))
{
}

reserve_reply reservation_table::reserve(const reserve_request &request, time_point now)
{
    onTick(now);
    reserve_reply reply{ request.key, request.backend, request.sequence, 0, std::nullopt };
    const result<engine_memory> memory = m_memory(request.backend, request.key);
    if (!memory) {
        reply.failure = memory.error();
        return reply;
    }
    reply.failure = refusal(request, *memory);
    if (reply.failure) {
        return reply;
    }
    reply.fencingNumber = memory->fencingNumber;
    reservation &entry = m_engines[request.backend][request.key.group];
    if (entry.tokens == 0) {
        entry.since = now;
    }
    entry.generation = request.key.generation;
    entry.tokens = request.tokens;
    entry.endsAt = now + std::min(request.lease, m_options.leaseLimit);
    return reply;
}

std::optional<error> reservation_table::refusal(const reserve_request &request, const engine_memory &memory) const
{
    token_count held = heldTokens(request.backend);
    const auto engine = m_engines.find(request.backend);
    if (engine != m_engines.end()) {
        const auto found = engine->second.find(request.key.group);
        if (found != engine->second.end()) {
            const reservation &known = found->second;
            const bool ended = known.tokens == 0 && known.generation >= request.key.generation;
            if (known.generation > request.key.generation || ended) {
                return error{ error_code::duplicate_attempt, verdict::not_run, "reason=released", std::nullopt };
            }
            if (known.generation == request.key.generation && known.tokens == request.tokens) {
                return std::nullopt;
            }
            held -= known.tokens;
        }
    }
    if (held + request.tokens <= memory.freeTokens) {
        return std::nullopt;
    }
    return error{ error_code::group_memory_busy,
        verdict::not_run,
        "free_tokens=" + std::to_string(std::max<token_count>(memory.freeTokens - held, 0)),
        m_options.retryAfter };
}

void reservation_table::release(const release_request &request, time_point now)
{
    engine_reservations &engine = m_engines[request.backend];
    const auto found = engine.find(request.key.group);
    if (found != engine.end() && found->second.generation > request.key.generation) {
        return;
    }
    if (!m_options.rememberReleased) {
        engine.erase(request.key.group);
        return;
    }
    // A reservation that was sent before this release may still arrive after it.
    engine[request.key.group] = { request.key.generation, 0, now + m_options.releasedMemory, now };
}

void reservation_table::onTick(time_point now)
{
    for (auto &[backend, engine] : m_engines) {
        std::erase_if(engine, [&](const auto &entry) {
            return entry.second.endsAt <= now;
        });
    }
    std::erase_if(m_engines, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::optional<time_point> reservation_table::nextWake() const
{
    std::optional<time_point> earliest;
    for (const auto &[backend, engine] : m_engines) {
        for (const auto &[group, entry] : engine) {
            earliest = earliest ? std::min(*earliest, entry.endsAt) : entry.endsAt;
        }
    }
    return earliest;
}

token_count reservation_table::heldTokens(const backend_server_id &backend) const
{
    const auto engine = m_engines.find(backend);
    token_count held = 0;
    if (engine != m_engines.end()) {
        for (const auto &[group, entry] : engine->second) {
            held += entry.tokens;
        }
    }
    return held;
}

int reservation_table::heldGroups(const backend_server_id &backend) const
{
    const auto engine = m_engines.find(backend);
    if (engine == m_engines.end()) {
        return 0;
    }
    const auto holdsTokens = [](const auto &entry) {
        return entry.second.tokens > 0;
    };
    return static_cast<int>(std::count_if(engine->second.begin(), engine->second.end(), holdsTokens));
}

bool reservation_table::holds(const backend_server_id &backend, const engine_group_id &group) const
{
    const auto engine = m_engines.find(backend);
    return engine != m_engines.end() && std::any_of(engine->second.begin(), engine->second.end(), [&](const auto &entry) {
        return entry.second.tokens > 0 && engineGroupOf({ entry.first, entry.second.generation }) == group;
    });
}

boost::json::value reservation_table::dump(time_point now) const
{
    const auto milliseconds = [](auto span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    boost::json::array rows;
    for (const auto &[backend, engine] : m_engines) {
        for (const auto &[group, entry] : engine) {
            rows.emplace_back(boost::json::object{
                { "backend_server", backend.str() },
                { "group", group.str() },
                { "generation", entry.generation },
                { "held_tokens", entry.tokens },
                { "age_ms", milliseconds(now - entry.since) },
                { "ends_in_ms", milliseconds(entry.endsAt - now) },
            });
        }
    }
    return rows;
}

} // namespace mustardtrail::group
