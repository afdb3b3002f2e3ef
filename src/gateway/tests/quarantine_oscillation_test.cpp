// Verdicts went back and forth between the instances, a report with each change: the links filled and requests came late.

#include "gateway/prompt_quarantine.h"

#include "base/random_source.h"
#include "testing/expect.h"

#include <algorithm>
#include <memory>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr prompt_part part = 7;
const time_point start{ seconds(100) };

/// Times of a report as its receiver reads them: an age says nothing of the network's delay.
void shift(quarantine_news &news, milliseconds delay)
{
    for (crash_evidence &each : news.crashes) {
        each.at += delay;
        for (auto &[suspect, sentAt] : each.sentAt) {
            sentAt += delay;
        }
    }
    for (written_part &each : news.written) {
        each.at += delay;
    }
    for (quarantined_part &each : news.quarantined) {
        each.since += delay;
    }
}

/// Instances that report each change of a verdict at once, and all they know periodically.
class reporting_instances
{
public:
    reporting_instances(unsigned count, std::uint64_t maxDelayMs, std::uint64_t seed)
        : m_random(seed)
        , m_maxDelayMs(maxDelayMs)
        , m_changes(count)
        , m_hasNews(count)
    {
        for (unsigned number = 0; number < count; ++number) {
            m_quarantines.push_back(std::make_unique<prompt_quarantine>([this, number](prompt_part, bool) {
                ++m_changes[number];
                m_hasNews[number] = true;
            }));
        }
    }
    prompt_quarantine &at(unsigned number)
    {
        return *m_quarantines[number];
    }
    time_point now() const
    {
        return m_now;
    }
    void runFor(milliseconds time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += milliseconds(1)) {
            std::erase_if(m_underWay, [this](const message &each) {
                if (each.at <= m_now) {
                    m_quarantines[each.to]->merge(each.news, m_now);
                }
                return each.at <= m_now;
            });
            for (unsigned number = 0; number < m_quarantines.size(); ++number) {
                if (m_hasNews[number]) {
                    tell(number, milliseconds(100));
                }
                if ((m_now - start) % milliseconds(300) == milliseconds(number)) {
                    tell(number, prompt_quarantine::newsMaxAge);
                    m_quarantines[number]->expire(m_now);
                }
            }
        }
    }
    unsigned mostChanges() const
    {
        return *std::max_element(m_changes.begin(), m_changes.end());
    }

private:
    struct message {
        time_point at{};
        unsigned to = 0;
        quarantine_news news;
    };

    void tell(unsigned from, milliseconds maxAge)
    {
        m_hasNews[from] = false;
        for (unsigned to = 0; to < m_quarantines.size(); ++to) {
            if (to != from) {
                const milliseconds delay(2 + m_random.below(m_maxDelayMs));
                message sent{ m_now + delay, to, m_quarantines[from]->news(maxAge, m_now) };
                shift(sent.news, delay);
                m_underWay.push_back(std::move(sent));
            }
        }
    }

    random_source m_random;
    std::uint64_t m_maxDelayMs;
    time_point m_now = start;
    std::vector<std::unique_ptr<prompt_quarantine>> m_quarantines;
    std::vector<unsigned> m_changes;
    std::vector<bool> m_hasNews;
    std::vector<message> m_underWay;
};

void expectFewChanges(unsigned count, unsigned offset, std::uint64_t maxDelayMs)
{
    reporting_instances instances(count, maxDelayMs, offset + 1);
    for (server_start_key server = 1; server <= 6; ++server) {
        instances.runFor(milliseconds(100));
        if (server == 6) {
            instances.at(1).recordWritten({ part }, instances.now());
            instances.runFor(milliseconds(offset));
        }
        instances.at(0).recordCrash(server, { part }, instances.now() - milliseconds(50), instances.now());
    }
    instances.runFor(seconds(3));
    cr_assert_leq(instances.mostChanges(), 4U, "%u instances, offset %u ms: %u changes", count, offset, instances.mostChanges());
}

} // namespace

Test(quarantine_oscillation, anAnswerBesideAVerdictChangesItAFewTimesOnly)
{
    for (const unsigned count : { 2U, 8U, 24U }) {
        for (unsigned offset = 0; offset < 8; ++offset) {
            expectFewChanges(count, offset, 5);
            expectFewChanges(count, offset, 60); // Links that are nearly full.
        }
    }
}
