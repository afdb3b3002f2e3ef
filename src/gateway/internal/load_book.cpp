#include "gateway/load_book.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::seconds rateWindow{ 1 };
// What was read is seen with the first token, which comes at the end of a pass.
constexpr std::chrono::milliseconds passTolerance{ 250 };

// A server reads in order of arrival, so its queue is a single line of parts.
void addReading(server_load &load, std::vector<const server_work *> &work, time_point now)
{
    std::sort(work.begin(), work.end(), [](const server_work *left, const server_work *right) {
        return left->sentAt < right->sentAt;
    });
    time_point end{};
    for (const server_work *each : work) {
        end = std::max(end, each->sentAt) + each->readTime;
        if (!each->isJoint && end + passTolerance < now) {
            load.overdue = std::max(load.overdue, std::chrono::duration_cast<std::chrono::microseconds>(now - end - passTolerance));
        }
    }
    if (end > now) {
        load.pendingRead = std::chrono::duration_cast<std::chrono::microseconds>(end - now);
    }
}

} // namespace

void load_book::add(const server_work &work)
{
    m_own.push_back(work);
}

bool load_book::firstToken(std::uint64_t request)
{
    std::erase_if(m_own, [request](const server_work &work) {
        return work.request == request && work.isHelper && work.memoryTokens == 0;
    });
    bool isNew = false;
    for (server_work &work : m_own) {
        if (work.request == request && !work.isWriting) {
            work.isWriting = true;
            isNew = true;
        }
    }
    return isNew;
}

void load_book::finish(std::uint64_t request)
{
    std::erase_if(m_own, [request](const server_work &work) {
        return work.request == request;
    });
}

void load_book::replacePeer(const instance_id &peer, std::vector<server_work> work, time_point now)
{
    m_peers[peer] = { std::move(work), now };
}

void load_book::expire(time_point now)
{
    std::erase_if(m_peers, [now](const auto &peer) {
        return now - peer.second.heardAt > peerSilence;
    });
}

std::map<server_key, server_load> load_book::loads(time_point now) const
{
    std::map<server_key, server_load> loads;
    std::map<server_key, std::vector<const server_work *>> unread;
    const auto count = [&](const server_work &work) {
        server_load &load = loads[work.server];
        load.memoryTokens += work.memoryTokens;
        load.contextTokens += work.contextTokens;
        load.requests += work.isHelper ? 0 : 1;
        load.writers += work.isWriting && !work.isHelper ? 1 : 0;
        load.shortWriters += work.hasShortPauses && !work.isHelper ? 1 : 0;
        load.sentLastSecond += now - work.sentAt < rateWindow ? 1 : 0;
        if (!work.isWriting) {
            unread[work.server].push_back(&work);
        }
    };
    for (const server_work &work : m_own) {
        count(work);
    }
    for (const auto &[id, peer] : m_peers) {
        for (const server_work &work : peer.work) {
            count(work);
        }
    }
    for (auto &[server, work] : unread) {
        addReading(loads[server], work, now);
    }
    return loads;
}

const std::vector<server_work> &load_book::own() const
{
    return m_own;
}

size_t load_book::peers() const
{
    return m_peers.size();
}

} // namespace mustardtrail::gateway
