#pragma once

#include "config/preview_report.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace mustardtrail::config
{

/// Collects lines of a preview; long runs of one sort end with their count.
class change_list
{
public:
    /// Lines with the same subject, kind and group are of one sort.
    void add(change_line line, const std::string &group = "");
    void changed(change_subject subject, std::string id, std::string before, std::string after, const std::string &group = "");
    std::vector<change_line> take();

private:
    using sort_key = std::tuple<change_subject, change_kind, change_sign, std::string>;

    std::vector<change_line> m_lines;
    std::map<sort_key, int> m_counts;
};

} // namespace mustardtrail::config
