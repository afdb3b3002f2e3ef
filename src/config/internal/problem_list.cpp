#include "config/internal/problem_list.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::config
{

void problem_list::add(config_problem problem)
{
    size_t &count = m_countByKey[problem.key];
    ++count;
    if (count <= maxProblemsPerKey) {
        m_problems.push_back(std::move(problem));
    }
}

bool problem_list::empty() const
{
    return m_countByKey.empty();
}

std::vector<config_problem> problem_list::take()
{
    std::sort(m_problems.begin(), m_problems.end(), [](const config_problem &left, const config_problem &right) {
        return std::tie(left.key, left.path, left.code, left.given, left.allowed)
            < std::tie(right.key, right.path, right.code, right.given, right.allowed);
    });
    for (const auto &[key, count] : m_countByKey) {
        if (count > maxProblemsPerKey) {
            m_problems.push_back({ error_code::config_more_problems, key, "", std::to_string(count), std::to_string(maxProblemsPerKey) });
        }
    }
    m_countByKey.clear();
    return std::exchange(m_problems, {});
}

} // namespace mustardtrail::config
