#pragma once

#include "config/config_problem.h"

#include <map>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Problems kept for each key; the rest are counted, so that a large broken value costs little memory.
constexpr size_t maxProblemsPerKey = 100;

/// Collects problems and gives them in one order.
class problem_list
{
public:
    void add(config_problem problem);
    bool empty() const;
    /// Sorted; a key with more problems than are kept ends with one that gives their number.
    std::vector<config_problem> take();

private:
    std::vector<config_problem> m_problems;
    std::map<std::string, size_t> m_countByKey;
};

} // namespace mustardtrail::config
