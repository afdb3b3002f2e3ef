#include "programs/gateway/tests/engine_memory.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mustardtrail::gateway::testing
{

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool engine_memory::isOrder(const http::exchange &exchange)
{
    const auto path = exchange.request().path();
    return path == "/api/order" || path == "/api/report";
}

void engine_memory::noteHold(const reservation &held)
{
    const time_point end = std::min(m_clock.now(), held.leaseEndsAt);
    m_longestEnded = std::max(m_longestEnded, duration_cast<milliseconds>(end - held.since));
    m_longestEndedAfterUse = std::max(m_longestEndedAfterUse, holdAfterUse(held));
}

milliseconds engine_memory::holdAfterUse(const reservation &held) const
{
    const time_point end = std::min(m_clock.now(), held.leaseEndsAt);
    return held.usedUntil ? duration_cast<milliseconds>(end - *held.usedUntil) : milliseconds(0);
}

void engine_memory::beginUse()
{
    for (auto &[name, held] : m_reservations) {
        held.isUsed = true;
    }
}

void engine_memory::endUse()
{
    for (auto &[name, held] : m_reservations) {
        held.usedUntil = held.isUsed ? m_clock.now() : held.usedUntil;
        held.isUsed = false;
    }
}

boost::asio::awaitable<void> engine_memory::serve(http::exchange &exchange)
{
    const time_point now = m_clock.now();
    std::erase_if(m_reservations, [&](const auto &entry) {
        noteHold(entry.second);
        m_lapsed += now >= entry.second.leaseEndsAt ? 1 : 0;
        return now >= entry.second.leaseEndsAt;
    });
    http::response_message answer;
    answer.status = 200;
    if (exchange.request().path() == "/api/report") {
        json::array tickets;
        for (const auto &[name, held] : m_reservations) {
            tickets.push_back({ { "id", name },
                { "state", held.isUsed ? "used" : "held" },
                { "age_ms", duration_cast<milliseconds>(now - held.since).count() } });
        }
        answer.body = json::serialize(json::object{ { "tickets", std::move(tickets) } });
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    const json::object order = json::parse(*exchange.request().body).as_object();
    const std::string name(order.at("id").as_string());
    if (order.at("operation").as_string() == "release") {
        m_reservations.erase(name);
    } else {
        const auto [entry, isNew] = m_reservations.try_emplace(name);
        entry->second.since = isNew ? now : entry->second.since;
        entry->second.leaseEndsAt = now + milliseconds(order.at("hold_ms").as_int64());
    }
    answer.body = "{}";
    co_await exchange.respond(std::move(answer));
}

void engine_memory::forgetAll()
{
    m_reservations.clear();
}

size_t engine_memory::heldCount() const
{
    return static_cast<size_t>(std::count_if(m_reservations.begin(), m_reservations.end(), [now = m_clock.now()](const auto &entry) {
        return now < entry.second.leaseEndsAt;
    }));
}

size_t engine_memory::lapsedCount() const
{
    return m_lapsed + m_reservations.size() - heldCount();
}

milliseconds engine_memory::longestHoldAfterUse() const
{
    milliseconds longest = m_longestEndedAfterUse;
    for (const auto &[name, held] : m_reservations) {
        longest = std::max(longest, holdAfterUse(held));
    }
    return longest;
}

milliseconds engine_memory::longestHold() const
{
    milliseconds longest = m_longestEnded;
    for (const auto &[name, held] : m_reservations) {
        const time_point end = std::min(m_clock.now(), held.leaseEndsAt);
        longest = std::max(longest, duration_cast<milliseconds>(end - held.since));
    }
    return longest;
}

} // namespace mustardtrail::gateway::testing
