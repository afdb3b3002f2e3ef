#include "programs/load/load_options.h"

#include "programs/load/prompt_length.h"

namespace mustardtrail::load
{

namespace
{

constexpr double largestRate = 10'000;
constexpr std::chrono::seconds longestPhase{ 3'600 };
constexpr double mostRequests = 1'000'000;
constexpr token_count largestPrompt = 1'000'000;
constexpr int mostAnswerTokens = 100'000;
constexpr int mostThreads = 64;

tl::unexpected<error> wrong(std::string detail)
{
    return tl::unexpected(error{ error_code::request_malformed, verdict::not_run, std::move(detail), {} });
}

} // namespace

result<load_options> checked(load_options options)
{
    if (options.entries.empty()) {
        return wrong("entries: at least one IP:PORT");
    }
    if (options.customers.empty()) {
        return wrong("customers: at least one name");
    }
    if (!(options.requestsPerSecond > 0 && options.requestsPerSecond <= largestRate)) {
        return wrong("rate: above 0, at most 10000 a second");
    }
    if (options.duration.count() < 1 || options.duration > longestPhase) {
        return wrong("seconds: 1 to 3600");
    }
    if (options.requestsPerSecond * static_cast<double>(options.duration.count()) > mostRequests) {
        return wrong("rate and seconds: at most 1000000 requests in a phase");
    }
    if (options.longOneIn < 1) {
        return wrong("long_one_in: at least 1");
    }
    if (options.longestPrompt <= middlePromptMost || options.longestPrompt > largestPrompt) {
        return wrong("longest_tokens: 100001 to 1000000");
    }
    if (options.answerTokens < 1 || options.answerTokens > mostAnswerTokens) {
        return wrong("answer_tokens: 1 to 100000");
    }
    if (options.threads < 1 || options.threads > mostThreads) {
        return wrong("threads: 1 to 64");
    }
    return options;
}

} // namespace mustardtrail::load
