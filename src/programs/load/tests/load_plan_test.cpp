#include "programs/load/load_plan.h"
#include "programs/load/prompt_length.h"

#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::load;
using mustardtrail::testing::expectEqual;

namespace
{

load_options someOptions()
{
    load_options options;
    options.entries = { { "127.0.0.1", 1 }, { "127.0.0.1", 2 } };
    options.customers = { "hotel", "band" };
    options.shortClass = "lookup";
    options.middleClass = "benchmark";
    options.longClass = "review";
    options.model = "pay";
    options.requestsPerSecond = 100;
    options.duration = std::chrono::seconds(100);
    options.seed = 7;
    options.longOneIn = 50;
    options.longestPrompt = 300'000;
    options.answerTokens = 8;
    options.threads = 2;
    return options;
}

size_t longPrompts(const std::vector<planned_request> &plan)
{
    return static_cast<size_t>(std::count_if(plan.begin(), plan.end(), [](const planned_request &request) {
        return request.promptTokens > middlePromptMost;
    }));
}

} // namespace

Test(load_plan, theSameSeedGivesTheSamePlan)
{
    const auto first = planLoad(someOptions());
    const auto second = planLoad(someOptions());
    expectEqual(first.size(), second.size());
    for (size_t index = 0; index < first.size(); ++index) {
        expectEqual(first[index].at.count(), second[index].at.count());
        expectEqual(first[index].promptTokens, second[index].promptTokens);
        expectEqual(first[index].entry, second[index].entry);
    }
}

Test(load_plan, rateAndShareOfLongPromptsAreThoseAskedFor)
{
    const auto plan = planLoad(someOptions());
    cr_assert(plan.size() > 9'600 && plan.size() < 10'400, "%zu", plan.size());
    const size_t longOnes = longPrompts(plan);
    cr_assert(longOnes > 150 && longOnes < 250, "%zu", longOnes);
}

Test(load_plan, thePlanWithoutLongPromptsKeepsAllOthersAtTheirTimes)
{
    const auto plan = planLoad(someOptions());
    const auto rest = withoutLongPrompts(plan);
    expectEqual(rest.size() + longPrompts(plan), plan.size());
    expectEqual(longPrompts(rest), size_t{ 0 });
    for (const planned_request &request : rest) {
        expectEqual(plan[request.promptNumber].at.count(), request.at.count());
    }
}

Test(load_plan, optionsOutOfRangeAreNamed)
{
    load_options options = someOptions();
    options.longestPrompt = 100'000;
    const auto result = checked(options);
    cr_assert(!result);
    expectEqual(result.error().detail, std::string("longest_tokens: 100001 to 1000000"));
}
