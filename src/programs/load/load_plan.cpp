#include "programs/load/load_plan.h"

#include "base/random_source.h"
#include "programs/load/prompt_length.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mustardtrail::load
{

namespace
{

constexpr std::uint64_t middleOneIn = 12;

token_count between(random_source &random, token_count least, token_count most)
{
    return least + static_cast<token_count>(random.below(static_cast<std::uint64_t>(most - least + 1)));
}

token_count drawLength(const load_options &options, random_source &random)
{
    if (random.below(options.longOneIn) == 0) {
        return between(random, middlePromptMost + 1, options.longestPrompt);
    }
    if (random.below(middleOneIn) == 0) {
        return between(random, shortPromptMost + 1, middlePromptMost);
    }
    return between(random, shortPromptLeast, shortPromptMost);
}

const std::string &classOf(const load_options &options, prompt_length length)
{
    switch (length) {
    case prompt_length::short_prompt:
        return options.shortClass;
    case prompt_length::middle_prompt:
        return options.middleClass;
    case prompt_length::long_prompt:
        break;
    }
    return options.longClass;
}

} // namespace

std::vector<planned_request> planLoad(const load_options &options)
{
    random_source random(options.seed);
    std::vector<planned_request> plan;
    const double end = static_cast<double>(options.duration.count());
    double at = 0;
    while (true) {
        at -= std::log1p(-random.unit()) / options.requestsPerSecond;
        if (at >= end) {
            return plan;
        }
        planned_request request;
        request.at = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at));
        request.entry = static_cast<size_t>(random.below(options.entries.size()));
        request.customer = options.customers[static_cast<size_t>(random.below(options.customers.size()))];
        request.promptTokens = drawLength(options, random);
        request.workClass = classOf(options, lengthOf(request.promptTokens));
        request.promptNumber = plan.size();
        plan.push_back(std::move(request));
    }
}

std::vector<planned_request> withoutLongPrompts(const std::vector<planned_request> &plan)
{
    std::vector<planned_request> rest;
    std::copy_if(plan.begin(), plan.end(), std::back_inserter(rest), [](const planned_request &request) {
        return lengthOf(request.promptTokens) != prompt_length::long_prompt;
    });
    return rest;
}

} // namespace mustardtrail::load
