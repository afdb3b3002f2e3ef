#include "gateway/customer_use.h"

#include "base/hash.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

customer_key keyOf(const customer_id &customer)
{
    return customer.empty() ? 0 : hash64(customer.str());
}

std::optional<microseconds> maxMinLevel(const prefill_by_customer &demand, microseconds capacity)
{
    std::vector<microseconds> ascending;
    for (const auto &[customer, prefill] : demand) {
        ascending.push_back(prefill);
    }
    std::sort(ascending.begin(), ascending.end());
    auto remaining = static_cast<std::int64_t>(ascending.size());
    for (const microseconds each : ascending) {
        if (each > capacity / remaining) {
            return capacity / remaining;
        }
        capacity -= each;
        --remaining;
    }
    return std::nullopt;
}

void customer_use::record(customer_key customer, microseconds prefill, time_point now)
{
    if (customer != 0 && prefill.count() > 0) {
        m_own[customer].push_back({ now, prefill });
    }
}

std::vector<std::string> customer_use::replacePeerUse(peer_address peer, const std::vector<customer_prefill> &use, time_point now)
{
    std::vector<std::string> damaged;
    peer_use known{ {}, now };
    for (const customer_prefill &each : use) {
        const std::string figure = "customer=" + std::to_string(each.customer) + " prefill_ms=" + std::to_string(each.prefill.count());
        if (known.use.size() >= maxReported) {
            damaged.push_back(figure + " problem=too_many");
            break;
        }
        if (each.customer == 0 || each.prefill < milliseconds(0) || each.prefill > maxReportedPrefill) {
            damaged.push_back(figure + " problem=out_of_range");
        } else if (!known.use.emplace(each.customer, each.prefill).second) {
            damaged.push_back(figure + " problem=repeated");
        }
    }
    m_peers[peer] = std::move(known);
    return damaged;
}

prefill_by_customer customer_use::own(time_point now) const
{
    prefill_by_customer sums;
    for (const auto &[customer, sent] : m_own) {
        for (const sent_prefill &each : sent) {
            if (now - each.at < window) {
                sums[customer] += each.prefill;
            }
        }
    }
    return sums;
}

std::vector<customer_prefill> customer_use::largest(time_point now) const
{
    std::vector<customer_prefill> found;
    for (const auto &[customer, prefill] : own(now)) {
        found.push_back({ customer, duration_cast<milliseconds>(prefill) });
    }
    std::sort(found.begin(), found.end(), [](const customer_prefill &left, const customer_prefill &right) {
        return left.prefill > right.prefill;
    });
    found.resize(std::min(found.size(), maxReported));
    return found;
}

prefill_by_customer customer_use::total(time_point now) const
{
    prefill_by_customer sums = own(now);
    for (const auto &[peer, known] : m_peers) {
        if (now - known.receivedAt > peerExpiry) {
            continue;
        }
        for (const auto &[customer, prefill] : known.use) {
            sums[customer] += prefill;
        }
    }
    return sums;
}

// While prompts wait the engines are busy, so what was used lately is the capacity. A customer that waits demands what waits on top
// of what it used; the others demand what they used.
const std::set<customer_key> &customer_use::updateShares(const prefill_by_customer &waiting, time_point now)
{
    m_overShare.clear();
    if (waiting.empty()) {
        return m_overShare;
    }
    const prefill_by_customer used = total(now);
    prefill_by_customer demand = used;
    for (const auto &[customer, prefill] : waiting) {
        demand[customer] += prefill;
    }
    microseconds capacity{ 0 };
    for (const auto &[customer, prefill] : used) {
        capacity += prefill;
    }
    const auto level = maxMinLevel(demand, capacity);
    for (const auto &[customer, prefill] : waiting) {
        const auto own = used.find(customer);
        // Without tolerance: a customer that took a tenth more than its share took it from the late requests of the others, 6 in 100.
        if (level && own != used.end() && own->second > *level) {
            m_overShare.insert(customer);
        }
    }
    return m_overShare;
}

bool customer_use::isOverShare(customer_key customer) const
{
    return m_overShare.contains(customer);
}

void customer_use::expire(time_point now)
{
    for (auto &[customer, sent] : m_own) {
        while (!sent.empty() && now - sent.front().at >= window) {
            sent.pop_front();
        }
    }
    std::erase_if(m_own, [](const auto &entry) {
        return entry.second.empty();
    });
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.receivedAt > peerExpiry;
    });
}

} // namespace mustardtrail::gateway
