#include "gateway/server_rate_limits.h"

#include "base/random_source.h"
#include "testing/expect.h"

#include <algorithm>
#include <deque>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr server_start_key server = 7;
const time_point start{ seconds(100) };

enum class demand {
    everywhere,
    at_one_instance,
    moving, ///< To the next instance each second.
};

/// Instances that would all like to use one limited server, and tell each other over a network that delays and loses datagrams.
class limited_fleet
{
public:
    limited_fleet(size_t count, double limit, std::uint64_t seed)
        : m_limit(limit)
        , m_random(seed)
    {
        for (size_t instance = 0; instance < count; ++instance) {
            m_instances.emplace_back(static_cast<peer_address>(instance + 1));
        }
    }

    /// Requests come at each millisecond with this probability at each instance that has demand.
    void run(milliseconds time, demand where, double probability)
    {
        for (milliseconds elapsed{ 0 }; elapsed < time; elapsed += milliseconds(1), m_now += milliseconds(1)) {
            deliver();
            for (size_t instance = 0; instance < m_instances.size(); ++instance) {
                const size_t chosen = where == demand::moving ? static_cast<size_t>(elapsed / seconds(1)) % m_instances.size() : 0;
                const bool hasDemand = where == demand::everywhere || instance == chosen;
                if (hasDemand && m_random.unit() < probability) {
                    request(instance, where == demand::everywhere ? m_instances.size() : 1);
                }
                if (elapsed % milliseconds(300) == milliseconds(instance % 300)) {
                    tell(instance);
                }
            }
            if (elapsed % seconds(1) == seconds(0)) {
                expireAll();
            }
        }
    }
    size_t mostInWindow(time_point from = start) const
    {
        size_t most = 0;
        auto first = std::lower_bound(m_sends.begin(), m_sends.end(), from);
        for (auto last = first; last != m_sends.end(); ++last) {
            while (*last - *first >= seconds(4)) {
                ++first;
            }
            most = std::max(most, static_cast<size_t>(last - first) + 1);
        }
        return most;
    }
    size_t sends() const
    {
        return m_sends.size();
    }
    void restart(size_t instance)
    {
        m_instances[instance] = server_rate_limits(static_cast<peer_address>(instance + 1));
    }

private:
    struct datagram {
        time_point at{};
        size_t from = 0;
        size_t to = 0;
        std::vector<rate_limit_news> news;
    };

    void request(size_t instance, size_t contenders)
    {
        const auto nextSendAt = m_instances[instance].nextSendAt(server, contenders, m_now);
        if (nextSendAt && m_now < *nextSendAt) {
            return;
        }
        m_instances[instance].recordSend(server, m_now);
        m_sends.push_back(m_now);
        m_instances[instance].recordAnswer(server, m_limit, m_now + milliseconds(1));
        tell(instance);
    }
    void tell(size_t from)
    {
        const auto news = m_instances[from].news(m_now);
        for (size_t to = 0; to < m_instances.size(); ++to) {
            const bool isLost = m_random.below(50) == 0;
            if (to != from && !isLost && !news.empty()) {
                m_underWay.push_back({ m_now + milliseconds(2 + m_random.below(14)), from, to, news });
            }
        }
    }
    void deliver()
    {
        std::erase_if(m_underWay, [this](const datagram &each) {
            if (each.at > m_now) {
                return false;
            }
            m_instances[each.to].merge(static_cast<peer_address>(each.from + 1), each.news);
            return true;
        });
    }
    void expireAll()
    {
        for (server_rate_limits &each : m_instances) {
            each.expire(m_now);
        }
    }

    double m_limit;
    random_source m_random;
    time_point m_now = start;
    std::vector<server_rate_limits> m_instances;
    std::deque<datagram> m_underWay;
    std::vector<time_point> m_sends;
};

size_t allowedInWindow(double limit)
{
    return static_cast<size_t>(6.0 * limit + 5.0); // 1.5 x the limit x 4 s, + 5: the users' rule.
}

void expectKeptAndUsed(size_t instances, double limit, demand where)
{
    constexpr seconds runTime{ 24 };
    constexpr double probability = 0.01; // Ten requests a second at each instance that has demand.
    limited_fleet fleet(instances, limit, instances * 131 + static_cast<std::uint64_t>(limit * 10));
    fleet.run(runTime, where, probability);
    // Until the first answer nothing is known; that is over well before the users' rule begins.
    cr_assert_leq(fleet.mostInWindow(start + seconds(1)),
        allowedInWindow(limit),
        "%zu instances, limit %.1f, demand %d: %zu in 4 s",
        instances,
        limit,
        static_cast<int>(where),
        fleet.mostInWindow(start + seconds(1)));
    const double possible = std::min(limit, 10.0 * 0.9) * static_cast<double>(runTime.count());
    cr_assert_gt(static_cast<double>(fleet.sends()),
        0.75 * possible,
        "%zu instances, limit %.1f, demand %d: %zu sends",
        instances,
        limit,
        static_cast<int>(where),
        fleet.sends());
}

} // namespace

Test(server_rate_limits, aFleetKeepsALimitAndUsesMostOfIt)
{
    for (const size_t instances : { 1U, 2U, 8U, 66U }) {
        for (const double limit : { 1.0, 1.5, 2.2, 6.0, 20.0 }) {
            for (const demand where : { demand::everywhere, demand::at_one_instance, demand::moving }) {
                expectKeptAndUsed(instances, limit, where);
            }
        }
    }
}

Test(server_rate_limits, anInstanceThatStartsAnewIsHeldBackByWhatTheOthersTell)
{
    limited_fleet fleet(8, 1.0, 3);
    fleet.run(seconds(6), demand::everywhere, 0.01);
    for (size_t instance = 0; instance < 8; ++instance) {
        fleet.restart(instance);
        fleet.run(seconds(2), demand::everywhere, 0.01);
    }
    cr_assert_leq(fleet.mostInWindow(start + seconds(1)), allowedInWindow(1.0) + 8);
}

Test(server_rate_limits, theNewestAnswerCountsAndOneWithoutALimitEndsIt)
{
    server_rate_limits limits(1);
    cr_assert(limits.recordAnswer(server, 2.0, start));
    cr_assert_not(limits.recordAnswer(server, 2.0, start + seconds(1)));
    limits.merge(2, { { server, 0.0, start + milliseconds(500), {} } });
    cr_assert(limits.nextSendAt(server, 1, start + seconds(1)).has_value());
    cr_assert(limits.recordAnswer(server, std::nullopt, start + seconds(2)));
    cr_assert_not(limits.nextSendAt(server, 1, start + seconds(2)).has_value());
}

Test(server_rate_limits, anotherStartOfTheServerHasNoLimit)
{
    server_rate_limits limits(1);
    limits.recordAnswer(server, 1.0, start);
    cr_assert_not(limits.nextSendAt(server + 1, 1, start).has_value());
}

Test(server_rate_limits, sendsBeforeTheLimitWasNamedCount)
{
    server_rate_limits limits(1);
    for (int count = 0; count < 20; ++count) {
        limits.recordSend(server, start + milliseconds(count));
    }
    limits.recordAnswer(server, 1.0, start + milliseconds(50));
    expectEqual(*limits.nextSendAt(server, 1, start + milliseconds(60)) >= start + seconds(4), true);
}

Test(server_rate_limits, aLimitBelowOneRequestInTheWindowIsKeptToo)
{
    server_rate_limits limits(1);
    limits.recordAnswer(server, 0.1, start);
    limits.recordSend(server, start);
    expectEqual(*limits.nextSendAt(server, 1, start + seconds(5)) > start + seconds(9), true);
    expectEqual(*limits.nextSendAt(server, 1, start + seconds(11)) <= start + seconds(11), true);
}
