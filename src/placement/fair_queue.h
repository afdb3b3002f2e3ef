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

/// An attempt that waits at the owner.
struct queued_attempt {
    work_item work;
    std::vector<backend_server_id> excluded;
    int priority = 0;
    time_point queuedAt{};
};

/// Queue of one pool: strict between priorities; start-time fair queueing over tokens between
/// the customers of each class within one priority.
class fair_queue
{
public:
    /// Work ahead of an attempt.
    struct position {
        double promptTokens = 0;
        token_count memoryTokens = 0; ///< KV memory of the medium and long ones.
        std::size_t attempts = 0;
        std::size_t attemptsAlike = 0; ///< Of the same priority.
    };

    void push(queued_attempt item);
    bool remove(const attempt_id &attempt);
    /// Where an attempt would stand if it were queued now.
    position positionOf(const work_item &work, int priority) const;

    /// Looks at the first attempt of each priority, most urgent first; take returns true to take the attempt out,
    /// after which the next one of that priority is looked at.
    void forEachHead(const std::function<bool(const queued_attempt &)> &take);
    /// Looks at all attempts in order; drop returns true to take one out.
    void sweep(const std::function<bool(const queued_attempt &)> &drop);

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
        std::map<flow, double> finish; ///< Virtual time at which the last attempt of the flow ends.
        double now = 0; ///< Virtual time: start of the attempt taken last.
        double promptTokens = 0;
        token_count memoryTokens = 0;
    };
    struct location {
        int priority = 0;
        order key;
    };
    using item_iterator = std::map<order, queued_attempt>::iterator;

    /// Nothing for short prompts.
    static token_count memoryOf(const work_item &work);
    static double startOf(const lane &queue, const flow &owner);
    static double costOf(const work_item &work);
    item_iterator erase(lane &queue, item_iterator item);

    std::map<int, lane> m_lanes;
    std::unordered_map<attempt_id, location> m_index;
    std::uint64_t m_nextSequence = 0;
};

} // namespace mustardtrail::placement
