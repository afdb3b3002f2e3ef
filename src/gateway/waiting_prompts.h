#pragma once

#include "gateway/peer_address.h"
#include "gateway/waiting_prompt.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace mustardtrail::gateway
{

/// The long prompts that wait at this instance and, from their reports, at the others of its cell. Every instance derives the same
/// order from them. Guards against two instances that take the same capacity: it goes to the first in the order.
class waiting_prompts
{
public:
    /// Called for each report with entries that are not used: how many, and why the last of them.
    using ignored_log = std::function<void(peer_address from, size_t entries, std::string_view why)>;
    using service_filter = std::function<bool(service_key service)>;

    explicit waiting_prompts(ignored_log onIgnored);

    void add(const waiting_prompt &own);
    void remove(std::uint64_t request);
    size_t ownCount() const;
    /// Returns this instance's prompts for its reports: the first in the order, at most `maxReported`.
    std::vector<waiting_prompt> ownForReport(time_point now) const;

    /// Replaces the prompts of another instance with those of its latest report; with an empty list it has none.
    void replaceReported(
        peer_address from, const std::vector<waiting_prompt> &prompts, const service_filter &isKnownService, time_point now);
    /// Removes the entries of reports older than `entryLife`.
    void expire(time_point now);
    /// Returns the prompts for the same service that are before this one, in order; at most `limit`.
    std::vector<waiting_prompt> ahead(const waiting_prompt &prompt, size_t limit, time_point now) const;

    /// Returns the number of prompts that wait at other instances; at most `maxReported` of each are known.
    size_t reportedCount(time_point now) const;

    /// Returns the time since the last report of any instance; nullopt before the first.
    std::optional<std::chrono::milliseconds> silence(time_point now) const;
    /// Whether the other instances have been heard without a break for so long that each has reported once.
    bool isInformed(time_point now) const;

    static constexpr size_t maxReported = 8; ///< Of one instance; more are never placed before another's prompt.
    /// Life of an entry after its report: an instance that fails while first in the order holds the others up no longer than this.
    static constexpr std::chrono::milliseconds entryLife{ 600 };
    static constexpr std::chrono::milliseconds informedAfter{ 900 }; ///< The longest interval between two reports of an instance.
    /// From the writing of a report to its reading at an undisturbed instance of another data centre (4.5 ms between them at most).
    static constexpr std::chrono::milliseconds usualReportDelay{ 5 };

private:
    struct reported_prompts {
        std::vector<waiting_prompt> prompts;
        time_point receivedAt{};
    };

    ignored_log m_onIgnored;
    std::map<std::uint64_t, waiting_prompt> m_own;
    std::map<peer_address, reported_prompts> m_reported; ///< Only instances with waiting prompts.
    std::optional<time_point> m_heardSince; ///< Reports have come without a break since then.
    time_point m_heardAt{};
};

} // namespace mustardtrail::gateway
