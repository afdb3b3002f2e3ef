#pragma once

#include "proof/fleet/process_fleet.h"

#include <future>
#include <vector>

namespace mustardtrail::proof
{

/// One request of a caller and the answer that is on its way.
struct pending_call {
    std::string name; ///< Number of the call and the instance.
    std::future<caller_answer> answer;
};

/// The session of callers with a fleet, as text that is the same in each run.
class transcript
{
public:
    explicit transcript(process_fleet &fleet);

    /// Writes the request and sends it; finish() waits for the answer and writes it.
    pending_call startCompletion(size_t instance, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream = true);
    pending_call startService(size_t instance, const std::string &workClass, const std::string &path, const std::string &key);
    void finish(pending_call call);

    void complete(size_t instance, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream = true);
    void service(size_t instance, const std::string &workClass, const std::string &path, const std::string &key = "");

    /// A failure or a change that the test produced.
    void event(const std::string &text);
    /// A fact that was read from the fleet.
    void fact(const std::string &name, const std::string &value);
    void fact(const std::string &name, std::int64_t value);

    /// Compares with tests/golden/NAME; MT_REGENERATE_GOLDEN=1 writes the file instead.
    void expectGolden(const std::string &name) const;

private:
    pending_call start(size_t instance, http::request_message request);

    process_fleet &m_fleet;
    std::string m_text;
    int m_calls = 0;
};

} // namespace mustardtrail::proof
