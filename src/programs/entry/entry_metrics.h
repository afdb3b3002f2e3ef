#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/units.h"

#include <boost/json/object.hpp>

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

    /// First token of an answer; labelled by the length of the prompt, the class of work and whether a long prompt ran
    /// here at the same time: the quotient of the two is the slowdown of short requests.
    void firstToken(token_count promptTokens, const std::string &workClass, bool longAlongside, std::chrono::nanoseconds took);
    void finished(const std::string &workClass, const std::string &dataCentre, std::chrono::nanoseconds took);
    void failed(const std::string &workClass, const std::string &dataCentre, const error &failure);
    void forwarded();
    void attempt();
    void setConfiguration(std::int64_t revision, std::chrono::milliseconds viewAge);
    /// Totals, limits and queues out of the state dump of the node.
    void setState(const boost::json::object &dump);

    std::string text() const;

private:
    void setPlacement(const boost::json::object &placement);

    struct families;
    std::unique_ptr<families> m_families;
};

/// Label of a prompt's length: "2k", "8k", "32k", "128k", "512k" or "1m"; the upper bound of its range.
std::string lengthLabel(token_count promptTokens);

} // namespace mustardtrail::entry
