#include "placement/fair_queue.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::placement;

namespace
{

void push(fair_queue &queue, const std::string &attempt, const std::string &customer, token_count tokens, int priority = 3)
{
    queued_attempt item;
    item.work.attempt = attempt_id(attempt);
    item.work.customer = customer_id(customer);
    item.work.promptTokens = tokens;
    item.priority = priority;
    queue.push(item);
}

std::string drain(fair_queue &queue)
{
    std::string order;
    queue.forEachHead([&](const queued_attempt &item) {
        order += item.work.attempt.str() + ' ';
        return true;
    });
    return order;
}

} // namespace

Test(fair_queue, sharesCapacityByTokensBetweenCustomers)
{
    fair_queue queue;
    for (const char *attempt : { "l1", "l2", "l3", "l4" }) {
        push(queue, attempt, "large", 1000);
    }
    push(queue, "s1", "small", 2500);
    push(queue, "s2", "small", 1000);
    testing::expectEqual(drain(queue), "l1 s1 l2 l3 s2 l4 ");
}

Test(fair_queue, moreUrgentWorkGoesFirst)
{
    fair_queue queue;
    push(queue, "late", "c", 10, 5);
    push(queue, "soon", "c", 10, 1);
    testing::expectEqual(drain(queue), "soon late ");
}

Test(fair_queue, anIdleQueueResetsItsVirtualTimes)
{
    fair_queue queue;
    push(queue, "a1", "a", 100000);
    drain(queue);
    push(queue, "a2", "a", 10);
    push(queue, "b1", "b", 10);
    testing::expectEqual(drain(queue), "a2 b1 ");
}

Test(fair_queue, countsTheWorkAheadOfANewAttempt)
{
    fair_queue queue;
    push(queue, "l1", "large", 1000);
    push(queue, "l2", "large", 1000);
    work_item work;
    work.customer = customer_id("large");
    testing::expectEqual(queue.positionOf(work, 3).attempts, std::size_t{ 2 });
    work.customer = customer_id("small");
    testing::expectEqual(queue.positionOf(work, 3).attempts, std::size_t{ 1 });
    testing::expectEqual(queue.positionOf(work, 2).attempts, std::size_t{ 0 });
}

Test(fair_queue, removesACancelledAttempt)
{
    fair_queue queue;
    push(queue, "a", "c", 10);
    cr_assert(queue.remove(attempt_id("a")));
    cr_assert_not(queue.remove(attempt_id("a")));
    testing::expectEqual(queue.promptTokens(), 0.0);
}
