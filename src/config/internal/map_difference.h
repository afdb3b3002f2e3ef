#pragma once

#include <map>

namespace mustardtrail::config
{

/// Calls use(id, before, after) for each id whose values differ, in order of ids; a null pointer stands for "not there".
template<typename id_type, typename value_type, typename use_type>
void forEachDifference(const std::map<id_type, value_type> &before, const std::map<id_type, value_type> &after, const use_type &use)
{
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        if (right == after.end() || (left != before.end() && left->first < right->first)) {
            use(left->first, &left->second, static_cast<const value_type *>(nullptr));
            ++left;
        } else if (left == before.end() || right->first < left->first) {
            use(right->first, static_cast<const value_type *>(nullptr), &right->second);
            ++right;
        } else {
            if (!(left->second == right->second)) {
                use(left->first, &left->second, &right->second);
            }
            ++left;
            ++right;
        }
    }
}

} // namespace mustardtrail::config
