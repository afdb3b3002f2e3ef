#include "proof/fleet/background_load.h"

#include "proof/fleet/expected_answer.h"

namespace mustardtrail::proof
{

namespace
{
constexpr size_t promptBytes = 2'000;
constexpr std::chrono::milliseconds betweenRequests{ 5 };
} // namespace

background_load::background_load(process_fleet &fleet, std::vector<size_t> through, int threads, int maxTokens)
    : m_fleet(fleet)
    , m_through(std::move(through))
    , m_maxTokens(maxTokens)
{
    for (int index = 0; index < threads; ++index) {
        m_threads.emplace_back([this, index] {
            run(static_cast<size_t>(index));
        });
    }
}

background_load::~background_load()
{
    stop();
}

void background_load::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void background_load::useInstances(std::vector<size_t> through)
{
    const std::lock_guard lock(m_mutex);
    m_through = std::move(through);
}

size_t background_load::pick(size_t number) const
{
    const std::lock_guard lock(m_mutex);
    return m_through[number % m_through.size()];
}

void background_load::run(size_t thread)
{
    const std::string expected = expectedAnswer(promptBytes, m_maxTokens);
    for (size_t number = thread; !m_stopping; ++number) {
        const caller_answer answer = m_fleet.complete(m_fleet.instances[pick(number)], "lookup", promptBytes, m_maxTokens);
        const bool isRight = answer.status == 200 && answer.isWhole && answerText(answer) == expected;
        if (isRight) {
            ++m_finished;
        } else if (answer.status != 0 && answer.headers.find("Mustardtrail-Verdict") == "not_run") {
            ++m_refused;
        } else {
            const std::lock_guard lock(m_mutex);
            m_faults.push_back("status=" + std::to_string(answer.status) + " " + answer.failure.detail + " " + answer.body.substr(0, 600));
        }
        std::this_thread::sleep_for(betweenRequests);
    }
}

int background_load::finished() const
{
    return m_finished;
}

int background_load::refusedNotRun() const
{
    return m_refused;
}

std::vector<std::string> background_load::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

} // namespace mustardtrail::proof
