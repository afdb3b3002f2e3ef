#include "gateway/second_copy_account.h"

#include "gateway/route_table.h"

#include <algorithm>
#include <set>

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

/// Part of the limit that is used. The requests' work in the window can fall after a copy was sent, and two instances that send at
/// the same moment do not know of each other's copy. With the whole limit, copies of one instance reached 0.052 of a limit of 0.05 in
/// a simulation in which all servers became slow at once.
constexpr double safetyFactor = 0.9;
/// Age up to which a copy of another instance may be unknown here.
constexpr milliseconds unseenTime{ 300 };
/// Expected work of a copy, the 0.95 quantile, as a multiple of a request's mean. With 1.0 the copies of a simulated fleet of 60
/// instances whose servers all became slow at once reached 0.0215 of a limit of 0.02 and 0.0596 of 0.05, with 1.5 0.0221 of 0.02.
constexpr double leastCopyToRequest = 2.0;
constexpr unsigned maxReportedCopies = 1'000'000; ///< A hundred thousand a second; more is a damaged figure.

double allowedWork(double limit, const second_copy_work &total)
{
    return safetyFactor * limit * static_cast<double>(total.requests.count());
}

/// Work of the copies that other instances may have sent and that are not known here yet: in the worst case, when all servers have
/// just become slow, one for each request, of this `work`.
double unseenWork(const second_copy_work &total, microseconds work)
{
    const double begun = static_cast<double>(total.requestsElsewhere.count()) * static_cast<double>(unseenTime.count())
        / static_cast<double>(second_copy_account::window.count());
    // After the latencies have risen, the expected work is a larger multiple of the requests in the window.
    const double measured
        = total.meanOwnRequest.count() > 0 ? static_cast<double>(work.count()) / static_cast<double>(total.meanOwnRequest.count()) : 0.0;
    return std::max(measured, leastCopyToRequest) * begun;
}

std::string describe(const second_copy_use &use, std::string_view problem)
{
    return "service=" + std::to_string(use.service) + " request_ms=" + std::to_string(use.requests.count())
        + " copy_ms=" + std::to_string(use.copies.count()) + " copies=" + std::to_string(use.count) + " problem=" + std::string(problem);
}

bool isPossible(const second_copy_use &use)
{
    const auto isWithin = [](milliseconds work) {
        return work.count() >= 0 && work <= second_copy_account::maxReportedWork;
    };
    const bool hasCopiesForWork = use.count > 0 || use.copies.count() == 0;
    return use.service != 0 && isWithin(use.requests) && isWithin(use.copies) && use.count <= maxReportedCopies && hasCopiesForWork;
}

// The requests of a report leave the window of 10 s as it ages. Undiminished, they would be too large while the load falls.
microseconds remaining(const second_copy_use &use, time_point receivedAt, time_point now)
{
    const auto age = duration_cast<milliseconds>(now - receivedAt);
    if (age > second_copy_account::requestsExpiry) {
        return microseconds(0);
    }
    return duration_cast<microseconds>(use.requests) * (second_copy_account::window - age).count() / second_copy_account::window.count();
}

} // namespace

void second_copy_account::recordRequest(const service_id &service, microseconds work, time_point now)
{
    auto &entries = m_requests[keyOf(service)];
    while (!entries.empty() && now - entries.front().at > window) {
        entries.pop_front();
    }
    entries.push_back({ now, work });
}

bool second_copy_account::isOverdue(const copy_entry &copy, time_point now)
{
    return copy.isRunning && now - copy.startedAt >= copy.work;
}

microseconds second_copy_account::workOfCopy(const copy_entry &copy, time_point now)
{
    return isOverdue(copy, now) ? duration_cast<microseconds>(now - copy.startedAt) : copy.work;
}

second_copy_work second_copy_account::ownWork(service_key service, time_point now) const
{
    second_copy_work own;
    if (const auto requests = m_requests.find(service); requests != m_requests.end()) {
        int count = 0;
        for (const request_entry &each : requests->second) {
            const bool isCounted = now - each.at <= window;
            own.requests += isCounted ? each.work : microseconds(0);
            count += isCounted ? 1 : 0;
        }
        own.meanOwnRequest = own.requests / std::max(count, 1);
    }
    for (const auto &[id, copy] : m_copies) {
        const bool isCounted = copy.service == service && (copy.isRunning || now - copy.countedAt <= window);
        own.copies += isCounted ? workOfCopy(copy, now) : microseconds(0);
    }
    return own;
}

void second_copy_account::addReported(second_copy_work &total, service_key service, const peer_use &peer, time_point now)
{
    const auto addCopies = [&](const reported_use &reported) {
        total.copies += now - reported.receivedAt <= copiesExpiry ? reported.use.copies : milliseconds(0);
    };
    if (const auto found = peer.byService.find(service); found != peer.byService.end()) {
        const microseconds requests = remaining(found->second.use, found->second.receivedAt, now);
        total.requests += requests;
        total.requestsElsewhere += requests;
        addCopies(found->second);
    }
    for (const reported_use &each : peer.ofEarlierIncarnations) {
        if (each.use.service == service) {
            addCopies(each);
        }
    }
}

second_copy_work second_copy_account::totalWork(service_key service, time_point now) const
{
    second_copy_work total = ownWork(service, now);
    for (const auto &[address, peer] : m_peers) {
        addReported(total, service, peer, now);
    }
    return total;
}

second_copy_work second_copy_account::workOf(const service_id &service, time_point now)
{
    return totalWork(keyOf(service), now);
}

double second_copy_account::admittedShare(const service_id &service, double limit, microseconds work, time_point now)
{
    const service_key key = keyOf(service);
    const bool isCopyOverdue = std::any_of(m_copies.begin(), m_copies.end(), [&](const auto &each) {
        return each.second.service == key && isOverdue(each.second, now);
    });
    if (isCopyOverdue) {
        return 0.0;
    }
    const second_copy_work total = totalWork(key, now);
    const double room = allowedWork(limit, total) - static_cast<double>(total.copies.count());
    if (room < static_cast<double>(work.count())) {
        return 0.0;
    }
    const double unseen = unseenWork(total, work);
    return unseen <= room ? 1.0 : room / unseen;
}

bool second_copy_account::mustEnd(ticket copy, double limit, time_point now)
{
    const auto found = m_copies.find(copy);
    if (found == m_copies.end() || !isOverdue(found->second, now)) {
        return false;
    }
    const second_copy_work total = totalWork(found->second.service, now);
    // The other instances may have sent copies that take as long and are not known yet.
    return static_cast<double>(total.copies.count()) + unseenWork(total, found->second.work) >= allowedWork(limit, total);
}

second_copy_account::ticket second_copy_account::startCopy(
    const service_id &service, microseconds expectedWork, bool isStream, time_point now)
{
    std::erase_if(m_copies, [now](const auto &each) {
        return !each.second.isRunning && now - each.second.countedAt > window;
    });
    m_copies[++m_last] = { keyOf(service), now, now, expectedWork, !isStream };
    return m_last;
}

microseconds second_copy_account::finishCopy(ticket copy, time_point now)
{
    const auto found = m_copies.find(copy);
    if (found == m_copies.end()) {
        return microseconds(0);
    }
    copy_entry &entry = found->second;
    if (entry.isRunning) {
        entry.work = duration_cast<microseconds>(now - entry.startedAt);
        entry.countedAt = now;
        entry.isRunning = false;
    }
    return entry.work;
}

std::vector<second_copy_use> second_copy_account::ownForReport(time_point now)
{
    std::set<service_key> services;
    std::map<service_key, unsigned> copies;
    for (const auto &[service, entries] : m_requests) {
        services.insert(service);
    }
    for (const auto &[id, copy] : m_copies) {
        services.insert(copy.service);
        copies[copy.service] += copy.isRunning || now - copy.countedAt <= window ? 1 : 0;
    }
    std::vector<second_copy_use> use;
    for (const service_key service : services) {
        const second_copy_work own = ownWork(service, now);
        // Rounded so that the others rather count less of the requests and more of the copies.
        const second_copy_use each{
            service, duration_cast<milliseconds>(own.requests), std::chrono::ceil<milliseconds>(own.copies), copies[service]
        };
        if (each.requests.count() > 0 || each.count > 0) {
            use.push_back(each);
        }
    }
    std::sort(use.begin(), use.end(), [](const second_copy_use &left, const second_copy_use &right) {
        return std::tuple(left.copies, left.requests) > std::tuple(right.copies, right.requests);
    });
    use.resize(std::min(use.size(), maxReported));
    return use;
}

bool second_copy_account::hasNews(time_point now) const
{
    return std::any_of(m_copies.begin(), m_copies.end(), [now](const auto &each) {
        return now - std::max(each.second.startedAt, each.second.countedAt) <= newsAge;
    });
}

std::vector<std::string> second_copy_account::recordReported(peer_address from,
    std::uint64_t incarnation,
    const std::vector<second_copy_use> &use,
    const service_filter &isKnownService,
    time_point now)
{
    std::vector<std::string> ignored;
    peer_use &peer = m_peers[from];
    if (peer.incarnation != incarnation) {
        for (const auto &[service, reported] : peer.byService) {
            peer.ofEarlierIncarnations.push_back(reported);
        }
        peer.byService.clear();
        peer.incarnation = incarnation;
    }
    std::set<service_key> used;
    for (const second_copy_use &each : use) {
        if (used.size() >= maxReported) {
            ignored.push_back(describe(each, "too_many"));
            break;
        }
        if (!isPossible(each)) {
            ignored.push_back(describe(each, "impossible_figures"));
        } else if (!isKnownService(each.service)) {
            ignored.push_back(describe(each, "unknown_service"));
        } else if (!used.insert(each.service).second) {
            ignored.push_back(describe(each, "repeated"));
        } else {
            peer.byService[each.service] = { each, now };
        }
    }
    return ignored;
}

void second_copy_account::expire(time_point now)
{
    const auto isExpired = [now](const reported_use &each) {
        return now - each.receivedAt > copiesExpiry;
    };
    for (auto &[address, peer] : m_peers) {
        std::erase_if(peer.byService, [&](const auto &each) {
            return isExpired(each.second);
        });
        std::erase_if(peer.ofEarlierIncarnations, isExpired);
    }
    std::erase_if(m_peers, [](const auto &each) {
        return each.second.byService.empty() && each.second.ofEarlierIncarnations.empty();
    });
}

} // namespace mustardtrail::gateway
