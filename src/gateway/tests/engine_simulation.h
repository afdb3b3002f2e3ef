#pragma once

#include "gateway/load_tracker.h"
#include "gateway/placement_decision.h"
#include "gateway/service_profile.h"

#include <functional>
#include <map>
#include <vector>

namespace mustardtrail::gateway::testing
{

/// One prompt of a replayed load.
struct simulated_prompt {
    int arrivesAt = 0; ///< In ms.
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    std::chrono::milliseconds latencyTarget{ 0 };
    std::chrono::milliseconds eventGapTarget{ 0 };
};

/// Events of the prompt's answer as its caller receives them.
struct simulated_result {
    int firstAfter = -1; ///< ms after its arrival; -1: never.
    int longestGap = 0;
    bool isRefused = false;
};

/// Simulates engines that work in batch steps, as the platform describes them, on a clock of whole milliseconds. A single
/// instance places all prompts and sees its own sends without delay.
class engine_simulation
{
public:
    using policy
        = std::function<placement_decision(const simulated_prompt &, const std::vector<server_key> &, const load_tracker &, time_point)>;

    engine_simulation(const engine_profile &engine, size_t engines);

    std::vector<simulated_result> replay(const std::vector<simulated_prompt> &prompts, const policy &place);

private:
    struct engine_state {
        int stepEnd = 0;
        std::vector<std::pair<size_t, double>> waiting; ///< Prompt and its prefill in ms.
        std::vector<size_t> inStep; ///< Prompts with a prefill part in the running batch step.
        std::vector<size_t> decoding;
    };
    struct prompt_state {
        size_t partsLeft = 0;
        server_key answering = 0;
        std::int64_t tokensLeft = 0;
        std::int64_t context = 0;
        int lastEvent = 0;
        bool isDecided = false;
    };

    void decide(size_t index, const simulated_prompt &prompt, const policy &place, int now);
    void endStep(server_key key, const std::vector<simulated_prompt> &prompts, int now);
    void beginStep(engine_state &engine, int now);

    engine_profile m_engine;
    std::map<server_key, engine_state> m_engines;
    std::vector<prompt_state> m_prompts;
    std::vector<simulated_result> m_results;
    load_tracker m_tracker;
};

/// Percentage of the results that were on time in first event and event gaps.
int percentOnTime(
    const std::vector<simulated_prompt> &prompts, const std::vector<simulated_result> &results, std::chrono::milliseconds latencyTarget);

} // namespace mustardtrail::gateway::testing
