#include "placement/bench/workload.h"

#include "base/hash.h"
#include "placement/bench/numbered_name.h"

#include <cmath>

namespace mustardtrail::placement::bench
{

namespace
{

constexpr double longShare = 0.02;
constexpr double mediumShare = 0.08;
constexpr double largeCustomersShare = 0.7;
constexpr std::uint64_t largeCustomers = 2;
constexpr std::uint64_t smallCustomers = 8;
constexpr std::uint64_t leastOutput = 64;
constexpr std::uint64_t outputSpan = 273; ///< 64 to 336 tokens: 200 on average.
constexpr std::uint64_t prefixesPerCustomer = 40;

token_count logUniform(random_source &random, double least, double most)
{
    return static_cast<token_count>(least * std::pow(most / least, random.unit()));
}

void drawPrompt(random_source &random, arrival &next)
{
    const double kind = random.unit();
    if (kind < longShare) {
        next.work.promptTokens = logUniform(random, 100001, 300000);
        next.work.workClass = class_id("review");
        next.target = std::chrono::seconds(60);
    } else if (kind < longShare + mediumShare) {
        next.work.promptTokens = logUniform(random, 8193, 100000);
        next.work.workClass = class_id("benchmark");
        next.target = std::chrono::seconds(10);
    } else {
        next.work.promptTokens = logUniform(random, 1000, 8192);
        next.work.workClass = class_id("lookup");
        next.target = std::chrono::seconds(1);
    }
}

void drawCustomer(random_source &random, arrival &next)
{
    next.smallCustomer = random.unit() >= largeCustomersShare;
    const std::uint64_t number = random.below(next.smallCustomer ? smallCustomers : largeCustomers);
    next.work.customer = customer_id(numberedName(next.smallCustomer ? "small-" : "large-", number));
}

} // namespace

std::vector<arrival> makeWorkload(
    double requestsPerSecond, std::chrono::seconds length, std::size_t entries, bool withLong, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<arrival> result;
    double at = 0;
    for (std::size_t number = 0;; ++number) {
        at += -std::log(1 - random.unit()) / requestsPerSecond;
        if (at > static_cast<double>(length.count())) {
            return result;
        }
        arrival next;
        next.at = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at));
        drawPrompt(random, next);
        drawCustomer(random, next);
        next.work.request = request_id(numberedName("r", number));
        next.work.attempt = attempt_id(numberedName("a", number));
        next.work.model = model_id("model");
        next.work.maxNewTokens = static_cast<token_count>(leastOutput + random.below(outputSpan));
        next.work.prefixHash = hash64(next.work.customer.str(), random.below(prefixesPerCustomer));
        next.entry = random.below(entries);
        if (withLong || next.work.workClass != class_id("review")) {
            result.push_back(std::move(next));
        }
    }
}

} // namespace mustardtrail::placement::bench
