#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/units.h"

#include <memory>
#include <string>

namespace mustardtrail::entry
{

/// Metrics of mustardtrail-entry in the Prometheus text format. Safe from any thread.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(const entry_metrics &) = delete;
    entry_metrics &operator=(const entry_metrics &) = delete;

    /// First token of an answer; labelled by the length class of the prompt and the class of work.
    void firstToken(token_count promptTokens, const std::string &workClass, std::chrono::nanoseconds took);
    void finished(const std::string &workClass, const std::string &dataCentre, std::chrono::nanoseconds took);
    void failed(const std::string &workClass, const std::string &dataCentre, const error &failure);
    void forwarded();
    void attempt();
    void setConfiguration(std::int64_t revision, std::chrono::milliseconds viewAge);
    void setLoad(size_t runningRequests, size_t connections, size_t bodyBytes);
    void setOwner(int backends, int queued);

    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

/// Label of a prompt's length: "2k", "8k", "32k", "128k", "512k" or "1m"; the upper bound of its range.
std::string lengthLabel(token_count promptTokens);

} // namespace mustardtrail::entry
