#include "host/command_line.h"
#include "programs/load/load_plan.h"
#include "programs/load/load_run.h"
#include "programs/load/report.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <cstdio>

ABSL_FLAG(std::vector<std::string>, entries, {}, "entry addresses, IP:PORT, separated by commas");
ABSL_FLAG(std::vector<std::string>, customers, std::vector<std::string>({ "hotel", "band" }), "names of customers");
ABSL_FLAG(std::string, short_class, "lookup", "class of work of prompts to 8,192 tokens");
ABSL_FLAG(std::string, middle_class, "benchmark", "class of work of prompts to 100,000 tokens");
ABSL_FLAG(std::string, long_class, "review", "class of work of longer prompts");
ABSL_FLAG(std::string, model, "pay", "model");
ABSL_FLAG(double, rate, 10, "requests a second over all entries");
ABSL_FLAG(int, seconds, 30, "length of each of the two phases");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals, lengths and prompts");
ABSL_FLAG(uint64_t, long_one_in, 50, "one prompt in so many is over 100,000 tokens");
ABSL_FLAG(int64_t, longest_tokens, 300'000, "longest prompt");
ABSL_FLAG(int, answer_tokens, 32, "tokens of each answer");
ABSL_FLAG(int, threads, 4, "threads that send");
ABSL_FLAG(bool, check_text, true, "compare each answer with that of the stand-in engines");

using namespace mustardtrail;
using namespace mustardtrail::load;

namespace
{

constexpr int exitRight = 0;
constexpr int exitCommandLine = 1;
constexpr int exitNotRight = 4; ///< Beside the codes that all programs share.

result<load_options> optionsFromFlags()
{
    load_options options;
    for (const std::string &text : absl::GetFlag(FLAGS_entries)) {
        const auto address = endpointFromString(text);
        if (!address) {
            return tl::unexpected(error{ error_code::request_malformed, verdict::not_run, "entries: not IP:PORT: " + text, {} });
        }
        options.entries.push_back(*address);
    }
    options.customers = absl::GetFlag(FLAGS_customers);
    options.shortClass = absl::GetFlag(FLAGS_short_class);
    options.middleClass = absl::GetFlag(FLAGS_middle_class);
    options.longClass = absl::GetFlag(FLAGS_long_class);
    options.model = absl::GetFlag(FLAGS_model);
    options.requestsPerSecond = absl::GetFlag(FLAGS_rate);
    options.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.seed = absl::GetFlag(FLAGS_seed);
    options.longOneIn = absl::GetFlag(FLAGS_long_one_in);
    options.longestPrompt = absl::GetFlag(FLAGS_longest_tokens);
    options.answerTokens = absl::GetFlag(FLAGS_answer_tokens);
    options.threads = absl::GetFlag(FLAGS_threads);
    options.checksText = absl::GetFlag(FLAGS_check_text);
    return checked(std::move(options));
}

load_phase runPhase(const load_options &options, std::vector<planned_request> plan)
{
    load_phase phase;
    phase.plan = std::move(plan);
    phase.outcomes = runLoad(options, phase.plan);
    return phase;
}

void printSection(const char *title, const std::string &table)
{
    std::printf("%s\n\n%s\n", title, table.c_str());
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Sends open-loop load to entry instances and prints the three measures of the users. Exit codes: 0 every "
                                 "answer was whole and right, 1 command line, 4 not.");
    host::parseCommandLine(argc, argv);
    const auto options = optionsFromFlags();
    if (!options) {
        std::fprintf(stderr, "%s\n", options.error().detail.c_str());
        return exitCommandLine;
    }
    const std::vector<planned_request> plan = planLoad(*options);
    const load_phase without = runPhase(*options, withoutLongPrompts(plan));
    const load_phase with = runPhase(*options, plan);
    printSection("Time to first token by prompt length, long prompts present", firstTokenTable(with));
    printSection("Slowdown of short requests", slowdownTable(without, with));
    printSection("Service by entry instance, without long prompts", serviceTable(*options, without));
    printSection("Service by entry instance, long prompts present", serviceTable(*options, with));
    const bool isRight = allRight(without) && allRight(with);
    std::printf("%s\n", isRight ? "load_ok" : "load_failed");
    return isRight ? exitRight : exitNotRight;
}
