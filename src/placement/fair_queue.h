#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "placement/work_item.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardtrail::placement
{

/// An attempt in the queue of its pool's owner.
struct queued_attempt {
    work_item work;
    std::vector<backend_server_id> excluded;
    int priority = 0;
    time_point queuedAt{};
};

/// Queue of one pool. Lower priority values always go first; within one priority, start-time fair queueing by tokens
/// shares capacity between flows, a flow being one customer in one work class.
class fair_queue
{
public:
    /// Queued work ahead of an attempt.
    struct position {
        double promptTokens = 0;
        token_count memoryTokens = 0; ///< KV memory needed by medium and long prompts.
        std::size_t attempts = 0;
        std::size_t attemptsOfSamePriority = 0;
    };

    void push(queued_attempt item);
    bool remove(const attempt_id &attempt);
    /// Work that would be ahead of an attempt queued now.
    position positionOf(const work_item &work, int priority) const;

    /// Calls take for the first attempt of each priority, most urgent first. When take returns true, the attempt is removed
    /// and take is called for the next one of that priority.
    void forEachHead(const std::function<bool(const queued_attempt &)> &take);
    /// Calls drop for all attempts in order and removes those for which it returns true.
    void removeIf(const std::function<bool(const queued_attempt &)> &drop);

    bool contains(const attempt_id &attempt) const;
    std::size_t size() const;
    double promptTokens() const;

private:
    struct flow {
        class_id workClass;
        customer_id customer;
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const flow &) const = default;
    };
    struct order {
        double start = 0;
        std::uint64_t sequence = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const order &) const = default;
    };
    struct lane {
        std::map<order, queued_attempt> items;
        std::map<flow, double> finish; ///< Virtual finish time of the last attempt of each flow.
        double now = 0; ///< Virtual time: start tag of the attempt removed last.
        double promptTokens = 0;
        token_count memoryTokens = 0;
    };
    struct location {
        int priority = 0;
        order key;
    };
    using item_iterator = std::map<order, queued_attempt>::iterator;

    /// KV memory that counts towards a position; 0 for short prompts.
    static token_count memoryOf(const work_item &work);
    static double startOf(const lane &queue, const flow &owner);
    static double costOf(const work_item &work);
    item_iterator erase(lane &queue, item_iterator item);

    std::map<int, lane> m_lanes;
    std::unordered_map<attempt_id, location> m_index;
    std::uint64_t m_nextSequence = 0;
};

} // namespace mustardtrail::placement
