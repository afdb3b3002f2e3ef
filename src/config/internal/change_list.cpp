#include "config/internal/change_list.h"

#include "config/preview.h"

#include <utility>

namespace mustardtrail::config
{

void change_list::add(change_line line, const std::string &group)
{
    int &count = m_counts[{ line.subject, line.kind, line.sign, group }];
    ++count;
    if (count <= maxLinesOfOneSort) {
        m_lines.push_back(std::move(line));
    }
}

void change_list::changed(change_subject subject, std::string id, std::string before, std::string after, const std::string &group)
{
    if (before != after) {
        add({ change_sign::same, subject, change_kind::changed, std::move(id), std::move(before), std::move(after), "" }, group);
    }
}

std::vector<change_line> change_list::take()
{
    for (const auto &[sort, count] : m_counts) {
        const auto &[subject, kind, sign, group] = sort;
        if (count > maxLinesOfOneSort) {
            m_lines.push_back({ sign, subject, change_kind::more, group, "", std::to_string(count - maxLinesOfOneSort), "" });
        }
    }
    m_counts.clear();
    return std::exchange(m_lines, {});
}

} // namespace mustardtrail::config
