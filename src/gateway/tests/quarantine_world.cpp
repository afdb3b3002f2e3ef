#include "gateway/tests/quarantine_world.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway::testing
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds stepTime{ 50 };
constexpr std::array<prompt_part, 4> allParts{ 1, 2, 3, 4 };

} // namespace

quarantine_world::quarantine_world(unsigned servers, std::set<prompt_part> guiltyParts, news_loss loss)
    : m_guilty(std::move(guiltyParts))
    , m_loss(loss)
    , m_servers(servers)
{
    for (server_state &each : m_servers) {
        each.start = ++m_lastStart;
    }
}

void quarantine_world::request(unsigned instance, const part_list &parts)
{
    const auto leastBusy = std::min_element(m_servers.begin(), m_servers.end(), [](const auto &left, const auto &right) {
        return left.running.size() < right.running.size();
    });
    requestAt(static_cast<unsigned>(leastBusy - m_servers.begin()), instance, parts);
}

void quarantine_world::requestAt(unsigned server, unsigned instance, const part_list &parts)
{
    m_now += stepTime;
    prompt_quarantine &quarantine = m_instances[instance];
    const auto until = quarantine.quarantinedUntil(parts);
    const bool mayTry = instance == 0; // One instance of the fleet.
    bool isTrial = false;
    if (until) {
        isTrial = mayTry && quarantine.tryTrial(parts, m_now);
        if (!isTrial) {
            return;
        }
        countTrial();
    }
    m_servers[server].running.push_back({ instance, parts, m_now, isTrial });
}

void quarantine_world::countTrial()
{
    milliseconds delay = prompt_quarantine::firstTrialDelay;
    for (unsigned count = 0; count < m_failedTrials; ++count) {
        delay *= 3;
    }
    const time_point earlier = m_trialsAt.empty() ? m_crashes.back().at : m_trialsAt.back();
    if (m_now - earlier < delay) {
        m_fault = "trial " + std::to_string(m_trialsAt.size() + 1) + " comes too early";
    }
    m_trialsAt.push_back(m_now);
}

void quarantine_world::run(unsigned server)
{
    m_now += stepTime;
    server_state &target = m_servers[server];
    const bool isGuiltyThere = std::any_of(target.running.begin(), target.running.end(), [this](const running_request &each) {
        return std::any_of(each.parts.begin(), each.parts.end(), [this](prompt_part part) {
            return m_guilty.contains(part);
        });
    });
    if (isGuiltyThere) {
        end(target);
    } else {
        answer(target);
    }
    settle(false);
}

void quarantine_world::end(server_state &server)
{
    const auto ended = std::exchange(server.running, {});
    const server_start_key start = std::exchange(server.start, ++m_lastStart);
    if (ended.empty()) {
        return;
    }
    real_crash crash{ m_now, {} };
    for (const running_request &each : ended) {
        for (const prompt_part part : each.parts) {
            auto &[first, last] = crash.sentAt.try_emplace(part, each.sentAt, each.sentAt).first->second;
            first = std::min(first, each.sentAt);
            last = std::max(last, each.sentAt);
        }
        m_failedTrials += each.isTrial ? 1 : 0;
        m_instances[each.instance].recordCrash(start, each.parts, each.sentAt, m_now);
    }
    m_crashes.push_back(std::move(crash));
}

void quarantine_world::answer(server_state &server)
{
    for (const running_request &each : std::exchange(server.running, {})) {
        m_instances[each.instance].recordWritten(each.parts, m_now);
        for (const prompt_part part : each.parts) {
            m_answeredAt[part] = m_now;
        }
    }
}

void quarantine_world::endAllServers()
{
    m_now += stepTime;
    for (server_state &each : m_servers) {
        end(each);
    }
    settle(false);
}

void quarantine_world::exchange()
{
    m_now += milliseconds(1);
    for (int round = 0; round < 2; ++round) { // What the news of the first round changed is told in the second.
        const auto first = m_instances[0].news(prompt_quarantine::newsMaxAge, m_now);
        const auto second = m_instances[1].news(prompt_quarantine::newsMaxAge, m_now);
        m_instances[1].merge(first, m_now);
        m_instances[0].merge(second, m_now);
    }
    settle(true);
}

void quarantine_world::send(unsigned instance)
{
    m_onTheirWay.push_back({ 1 - instance, m_instances[instance].news(prompt_quarantine::newsMaxAge, m_now) });
}

void quarantine_world::deliver(bool arrivesAgain)
{
    if (m_onTheirWay.empty()) {
        return;
    }
    m_now += milliseconds(1);
    m_instances[m_onTheirWay.front().to].merge(m_onTheirWay.front().news, m_now);
    if (!arrivesAgain) {
        m_onTheirWay.erase(m_onTheirWay.begin());
    }
    settle(false);
}

void quarantine_world::wait(milliseconds time)
{
    m_now += time;
    for (prompt_quarantine &each : m_instances) {
        each.expire(m_now);
    }
}

void quarantine_world::heal(prompt_part part)
{
    m_guilty.erase(part);
}

bool quarantine_world::isQuarantined(unsigned instance, prompt_part part) const
{
    return m_instances[instance].quarantinedUntil({ part }).has_value();
}

bool quarantine_world::wasAnsweredAfter(prompt_part part, time_point moment) const
{
    const auto found = m_answeredAt.find(part);
    return found != m_answeredAt.end() && found->second > moment;
}

std::vector<const quarantine_world::real_crash *> quarantine_world::unansweredCrashes(prompt_part part) const
{
    std::vector<const real_crash *> found;
    for (const real_crash &each : m_crashes) {
        if (each.sentAt.contains(part) && !wasAnsweredAfter(part, each.at)) {
            found.push_back(&each);
        }
    }
    return found;
}

std::vector<const quarantine_world::real_crash *> quarantine_world::unexplainedCrashes(prompt_part part) const
{
    auto found = unansweredCrashes(part);
    std::erase_if(found, [&](const real_crash *crash) {
        return std::any_of(crash->sentAt.begin(), crash->sentAt.end(), [&](const auto &entry) {
            return entry.first != part && (isQuarantined(0, entry.first) || isQuarantined(1, entry.first));
        });
    });
    return found;
}

unsigned quarantine_world::crashesInARow(prompt_part part) const
{
    unsigned count = 0;
    time_point last = time_point::min();
    for (const real_crash *crash : unansweredCrashes(part)) {
        if (crash->sentAt.at(part).second > last) {
            ++count;
            last = crash->at;
        }
    }
    return count;
}

unsigned quarantine_world::unexplainedCrashesInARow(prompt_part part) const
{
    unsigned count = 0;
    time_point last = time_point::min();
    for (const real_crash *crash : unexplainedCrashes(part)) {
        if (crash->sentAt.at(part).first > last) {
            ++count;
            last = crash->at;
        }
    }
    return count;
}

bool quarantine_world::hasCompanion(prompt_part part) const
{
    const auto crashes = unexplainedCrashes(part);
    return std::any_of(allParts.begin(), allParts.end(), [&](prompt_part other) {
        return other != part && std::all_of(crashes.begin(), crashes.end(), [&](const real_crash *crash) {
            return crash->sentAt.contains(other) && !wasAnsweredAfter(other, crash->at);
        });
    });
}

const std::string &quarantine_world::fault() const
{
    return m_fault;
}

void quarantine_world::checkVerdict(unsigned instance, prompt_part part)
{
    if (!isQuarantined(instance, part)) {
        return;
    }
    const unsigned inARow = crashesInARow(part);
    const auto crashes = unansweredCrashes(part);
    const bool isGuiltyAlwaysThere = std::any_of(m_guilty.begin(), m_guilty.end(), [&](prompt_part guilty) {
        return std::all_of(crashes.begin(), crashes.end(), [&](const real_crash *crash) {
            return crash->sentAt.contains(guilty);
        });
    });
    const unsigned required = isGuiltyAlwaysThere ? prompt_quarantine::ambiguousCrashesRequired : prompt_quarantine::crashesRequired;
    if (inARow < required) {
        m_fault = "instance " + std::to_string(instance) + " holds sound part " + std::to_string(part) + " back after "
            + std::to_string(inARow) + " crashes in a row since its last answer";
    }
}

void quarantine_world::settle(bool knowAll)
{
    for (unsigned instance = 0; instance < instanceCount; ++instance) {
        for (const prompt_part part : allParts) {
            if (!m_guilty.contains(part) && (knowAll || m_loss == news_loss::none)) {
                checkVerdict(instance, part);
            }
        }
        for (server_state &server : m_servers) {
            std::erase_if(server.running, [&](const running_request &each) {
                return each.instance == instance && !each.isTrial && m_instances[instance].quarantinedUntil(each.parts).has_value();
            });
        }
    }
}

} // namespace mustardtrail::gateway::testing
