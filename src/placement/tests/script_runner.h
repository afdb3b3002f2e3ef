#pragma once

#include "placement/owner_scheduler.h"
#include "placement/tests/script_line.h"

#include <string>

namespace mustardtrail::placement::tests
{

/// Drives an owner_scheduler of instance e1 by lines of text and returns its actions as text.
/// Fleet: engines g1 and g2 (model m, 100,000 tokens, cold 2, warm 8) and service s1 (portal, cold 2, warm 4).
class script_runner
{
public:
    /// Runs one line, for example "100 admit id=a1 tokens=2000"; returns one line of text per action.
    std::string run(const std::string &line);
    /// Runs several lines and returns their combined output.
    std::string runAll(const std::vector<std::string> &lines);

    /// Value of one field in the dump of a backend server; -1 when the dump does not list it.
    std::int64_t stateOf(const std::string &backend, const std::string &member, std::chrono::milliseconds at);

private:
    owner_action_list carryOut(const script_line &line, std::string &text);
    std::shared_ptr<const membership::fleet_view> viewOf(const script_line &line) const;
    work_item workOf(const script_line &line) const;
    engine_report reportOf(const script_line &line) const;
    std::string stateText(const script_line &line);
    std::string summaryText();

    owner_scheduler m_scheduler;
    time_point m_now{};
};

} // namespace mustardtrail::placement::tests
