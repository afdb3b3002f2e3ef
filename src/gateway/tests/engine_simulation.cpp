#include "gateway/tests/engine_simulation.h"

#include "gateway/tests/test_time.h"

#include <algorithm>

namespace mustardtrail::gateway::testing
{

namespace
{

constexpr int endMs = 60'000;

std::vector<server_key> keysOf(size_t engines)
{
    std::vector<server_key> keys;
    for (server_key key = 1; key <= engines; ++key) {
        keys.push_back(key);
    }
    return keys;
}

} // namespace

engine_simulation::engine_simulation(const engine_profile &engine, size_t engines)
    : m_engine(engine)
{
    for (const server_key key : keysOf(engines)) {
        m_engines[key];
    }
}

void engine_simulation::decide(size_t index, const simulated_prompt &prompt, const policy &place, int now)
{
    const placement_decision decision = place(prompt, keysOf(m_engines.size()), m_tracker, at(now));
    if (decision.next == placement_decision::action::wait) {
        return;
    }
    prompt_state &state = m_prompts[index];
    state.isDecided = true;
    if (decision.next == placement_decision::action::refuse) {
        m_results[index].isRefused = true;
        return;
    }
    state.partsLeft = decision.parts.size();
    state.answering = decision.parts.front().server;
    state.tokensLeft = prompt.answerTokens;
    state.context = decision.parts.front().contextTokens;
    for (const placed_part &part : decision.parts) {
        m_engines[part.server].waiting.emplace_back(index, static_cast<double>(part.prefillTime.count()) / 1'000.0);
        server_work work;
        work.request = index + 1;
        work.server = part.server;
        work.prefillTime = part.prefillTime;
        work.memoryTokens = part.memoryTokens;
        work.contextTokens = part.contextTokens;
        work.isHelper = part.server != state.answering;
        work.isSplitPrompt = decision.parts.size() > 1;
        work.isLatencySensitive = prompt.eventGapTarget <= maxLatencySensitiveGap;
        work.sentAt = at(now);
        m_tracker.add(work);
    }
}

void engine_simulation::endStep(server_key key, const std::vector<simulated_prompt> &prompts, int now)
{
    engine_state &engine = m_engines[key];
    for (const size_t index : engine.decoding) {
        prompt_state &state = m_prompts[index];
        m_results[index].longestGap = std::max(m_results[index].longestGap, now - state.lastEvent);
        state.lastEvent = now;
        state.tokensLeft -= m_engine.tokenStepsPerBatchStep;
        if (state.tokensLeft <= 0) {
            m_tracker.finish(index + 1);
        }
    }
    std::erase_if(engine.decoding, [this](size_t index) {
        return m_prompts[index].tokensLeft <= 0;
    });
    for (const size_t index : engine.inStep) {
        prompt_state &state = m_prompts[index];
        if (--state.partsLeft > 0) {
            continue;
        }
        m_results[index].firstAfter = now - prompts[index].arrivesAt;
        state.lastEvent = now;
        m_engines[state.answering].decoding.push_back(index);
        m_tracker.recordFirstToken(index + 1);
    }
    engine.inStep.clear();
}

void engine_simulation::beginStep(engine_state &engine, int now)
{
    double prefillMs = 0.0;
    for (const auto &[index, milliseconds] : engine.waiting) {
        prefillMs += milliseconds;
        engine.inStep.push_back(index);
    }
    engine.waiting.clear();
    double decodeMs = 0.0;
    if (!engine.decoding.empty()) {
        double context = 0.0;
        for (const size_t index : engine.decoding) {
            context += static_cast<double>(m_prompts[index].context) / 1'000.0;
        }
        const double requests = static_cast<double>(engine.decoding.size());
        decodeMs = m_engine.tokenStepsPerBatchStep
            * (m_engine.tokenStepMs + m_engine.tokenStepMsPerDecode * requests + m_engine.tokenStepMsPerThousandContextTokens * context);
    }
    engine.stepEnd = now + std::max(1, static_cast<int>(prefillMs + decodeMs));
}

std::vector<simulated_result> engine_simulation::replay(const std::vector<simulated_prompt> &prompts, const policy &place)
{
    m_prompts.assign(prompts.size(), {});
    m_results.assign(prompts.size(), {});
    size_t arrived = 0;
    for (int now = 0; now < endMs; ++now) {
        for (auto &[key, engine] : m_engines) {
            if (engine.stepEnd == now) {
                endStep(key, prompts, now);
            }
        }
        while (arrived < prompts.size() && prompts[arrived].arrivesAt <= now) {
            ++arrived;
        }
        for (size_t index = 0; index < arrived; ++index) {
            const bool triesNow = prompts[index].arrivesAt == now || now % 10 == 0;
            if (!m_prompts[index].isDecided && triesNow) {
                decide(index, prompts[index], place, now);
            }
        }
        for (auto &[key, engine] : m_engines) {
            if (engine.stepEnd <= now && (!engine.waiting.empty() || !engine.decoding.empty())) {
                beginStep(engine, now);
            }
        }
    }
    return m_results;
}

int percentOnTime(
    const std::vector<simulated_prompt> &prompts, const std::vector<simulated_result> &results, std::chrono::milliseconds latencyTarget)
{
    int count = 0;
    int onTime = 0;
    for (size_t index = 0; index < prompts.size(); ++index) {
        if (prompts[index].latencyTarget != latencyTarget) {
            continue;
        }
        ++count;
        const simulated_result &result = results[index];
        const bool isFirstOnTime = result.firstAfter >= 0 && result.firstAfter <= latencyTarget.count();
        onTime += isFirstOnTime && result.longestGap <= prompts[index].eventGapTarget.count() ? 1 : 0;
    }
    return count == 0 ? 100 : onTime * 100 / count;
}

} // namespace mustardtrail::gateway::testing
