#include "gateway/load_tracker.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::seconds rateWindow{ 1 };
// Completed prefill shows only with the first token, which comes at the end of a batch step.
constexpr std::chrono::milliseconds stepTolerance{ 250 };

// A server prefills in order of arrival, so that its parts complete one after the other.
void addPrefill(server_load &load, std::vector<const server_work *> &work, time_point now)
{
    std::sort(work.begin(), work.end(), [](const server_work *left, const server_work *right) {
        return left->sentAt < right->sentAt;
    });
    time_point end{};
    for (const server_work *each : work) {
        end = std::max(end, each->sentAt) + each->prefillTime;
        if (!each->isSplitPrompt && end + stepTolerance < now) {
            load.overdue = std::max(load.overdue, std::chrono::duration_cast<std::chrono::microseconds>(now - end - stepTolerance));
        }
    }
    if (end > now) {
        load.pendingPrefill = std::chrono::duration_cast<std::chrono::microseconds>(end - now);
    }
}

} // namespace

server_load &server_load::operator+=(const server_load &other)
{
    pendingPrefill += other.pendingPrefill;
    overdue = std::max(overdue, other.overdue);
    memoryTokens += other.memoryTokens;
    contextTokens += other.contextTokens;
    requests += other.requests;
    decodingRequests += other.decodingRequests;
    unreadPrompts += other.unreadPrompts;
    latencySensitiveRequests += other.latencySensitiveRequests;
    sentLastSecond += other.sentLastSecond;
    recentPrefill += other.recentPrefill;
    addEventGapTarget(other.shortestEventGapTarget);
    return *this;
}

void server_load::addEventGapTarget(std::chrono::milliseconds target)
{
    if (target.count() > 0) {
        shortestEventGapTarget = shortestEventGapTarget.count() > 0 ? std::min(shortestEventGapTarget, target) : target;
    }
}

void load_tracker::recordChange()
{
    ++m_changes;
    m_loadsAt.reset();
}

std::uint64_t load_tracker::changes() const
{
    return m_changes;
}

void load_tracker::add(const server_work &work)
{
    m_own.push_back(work);
    recordChange();
}

bool load_tracker::recordFirstToken(std::uint64_t request)
{
    recordChange();
    std::erase_if(m_own, [request](const server_work &work) {
        return work.request == request && work.isHelper && work.memoryTokens == 0;
    });
    bool isNew = false;
    for (server_work &work : m_own) {
        if (work.request == request && !work.isDecoding) {
            work.isDecoding = true;
            isNew = true;
        }
    }
    return isNew;
}

void load_tracker::finish(std::uint64_t request)
{
    recordChange();
    std::erase_if(m_own, [request](const server_work &work) {
        return work.request == request;
    });
}

void load_tracker::replacePeerWork(peer_address peer, std::vector<server_work> work, time_point now)
{
    recordChange();
    m_peers[peer] = { std::move(work), now };
}

void load_tracker::expire(time_point now)
{
    recordChange();
    std::erase_if(m_peers, [now](const auto &peer) {
        return now - peer.second.receivedAt > peerExpiry;
    });
}

const std::map<server_key, server_load> &load_tracker::loads(time_point now) const
{
    if (m_loadsAt != now) {
        const auto countsAll = [](peer_address) {
            return true;
        };
        m_loads = loadsOf(countsAll, now);
        m_pictureAge = measurePictureAge(now);
        m_loadsAt = now;
    }
    return m_loads;
}

std::map<server_key, server_load> load_tracker::loadsOf(const peer_filter &counts, time_point now) const
{
    std::map<server_key, server_load> loads;
    std::map<server_key, std::vector<const server_work *>> inPrefill;
    const auto count = [&](const server_work &work, time_point reportedAt) {
        server_load &load = loads[work.server];
        load.memoryTokens += work.memoryTokens;
        load.contextTokens += work.contextTokens;
        load.requests += work.isHelper ? 0 : 1;
        load.decodingRequests += work.isDecoding && !work.isHelper ? 1 : 0;
        load.latencySensitiveRequests += work.isLatencySensitive && !work.isHelper ? 1 : 0;
        load.sentLastSecond += now - work.sentAt < rateWindow ? 1 : 0;
        load.unreadPrompts += work.isSplitPrompt && !work.isHelper && !work.isDecoding ? 1 : 0;
        load.recentPrefill += reportedAt - work.sentAt < recentWindow ? work.prefillTime : std::chrono::microseconds(0);
        load.addEventGapTarget(work.eventGapTarget);
        if (!work.isDecoding) {
            inPrefill[work.server].push_back(&work);
        }
    };
    for (const server_work &work : m_own) {
        count(work, now);
    }
    for (const auto &[address, peer] : m_peers) {
        if (!counts(address)) {
            continue;
        }
        for (const server_work &work : peer.work) {
            count(work, peer.receivedAt);
        }
    }
    for (auto &[server, work] : inPrefill) {
        addPrefill(loads[server], work, now);
    }
    return loads;
}

bool load_tracker::hasWorkOf(const peer_filter &counts) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return !entry.second.work.empty() && counts(entry.first);
    });
}

const std::vector<server_work> &load_tracker::ownWork() const
{
    return m_own;
}

void load_tracker::forEachWork(const std::function<void(const server_work &)> &visit) const
{
    for (const server_work &work : m_own) {
        visit(work);
    }
    for (const auto &[address, peer] : m_peers) {
        for (const server_work &work : peer.work) {
            visit(work);
        }
    }
}

std::set<peer_address> load_tracker::hearersOf(server_key server, time_point since) const
{
    std::set<peer_address> hearers;
    for (const auto &[peer, reported] : m_peers) {
        const bool hasHeard = std::any_of(reported.work.begin(), reported.work.end(), [&](const server_work &work) {
            return work.server == server && work.isDecoding && work.sentAt >= since;
        });
        if (hasHeard) {
            hearers.insert(peer);
        }
    }
    return hearers;
}

size_t load_tracker::busyInstances() const
{
    return 1 + static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) {
        return !entry.second.work.empty();
    }));
}

size_t load_tracker::peerCount() const
{
    return m_peers.size();
}

std::chrono::milliseconds load_tracker::pictureAge(time_point now) const
{
    loads(now);
    return m_pictureAge;
}

std::chrono::milliseconds load_tracker::measurePictureAge(time_point now) const
{
    std::chrono::milliseconds sum{ 0 };
    int busy = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.work.empty()) {
            sum += std::min(std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.receivedAt), maxPictureAge);
            ++busy;
        }
    }
    return busy == 0 ? sum : sum / busy;
}

std::chrono::microseconds load_tracker::prefillSentSince(server_key server, time_point since, std::uint64_t except) const
{
    std::chrono::microseconds sum{ 0 };
    const auto add = [&](const std::vector<server_work> &work) {
        for (const server_work &each : work) {
            if (each.server == server && each.sentAt >= since && each.request != except) {
                sum += each.prefillTime;
            }
        }
    };
    add(m_own);
    for (const auto &[address, peer] : m_peers) {
        add(peer.work);
    }
    return sum;
}

} // namespace mustardtrail::gateway
