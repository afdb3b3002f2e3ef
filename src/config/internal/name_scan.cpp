#include "config/internal/name_scan.h"

#include "config/internal/concat.h"

#include <algorithm>

namespace mustardtrail::config
{

const std::optional<json_failure> &name_scan::failure() const
{
    return m_failure;
}

bool name_scan::on_array_begin(failure_code &)
{
    return open(false);
}

bool name_scan::on_array_end(size_t, failure_code &)
{
    return close();
}

bool name_scan::on_object_begin(failure_code &)
{
    return open(true);
}

bool name_scan::on_object_end(size_t, failure_code &)
{
    return close();
}

bool name_scan::on_key_part(text part, size_t, failure_code &)
{
    m_name.append(part.data(), part.size());
    return true;
}

bool name_scan::on_key(text part, size_t, failure_code &code)
{
    m_name.append(part.data(), part.size());
    frame &top = m_frames[m_depth - 1];
    const auto end = top.names.begin() + static_cast<std::ptrdiff_t>(top.nameCount);
    if (std::find(top.names.begin(), end, m_name) != end) {
        return fail(error_code::config_duplicate_key, shownName(m_name), "1", code);
    }
    if (top.nameCount == maxObjectNames) {
        return fail(error_code::config_too_large,
            concat({ "> ", std::to_string(maxObjectNames) }),
            concat({ "<= ", std::to_string(maxObjectNames) }),
            code);
    }
    if (top.nameCount == top.names.size()) {
        top.names.emplace_back();
    }
    top.names[top.nameCount] = m_name;
    ++top.nameCount;
    m_name.clear();
    return true;
}

bool name_scan::open(bool isObject)
{
    if (m_depth == m_frames.size()) {
        m_frames.emplace_back();
    }
    frame &top = m_frames[m_depth];
    top.isObject = isObject;
    top.index = 0;
    top.nameCount = 0;
    ++m_depth;
    return true;
}

bool name_scan::close()
{
    --m_depth;
    return valueEnded();
}

bool name_scan::valueEnded()
{
    if (m_depth > 0) {
        ++m_frames[m_depth - 1].index;
    }
    return true;
}

bool name_scan::fail(error_code code, std::string given, std::string allowed, failure_code &stop)
{
    m_failure = json_failure{ code, path(), std::move(given), std::move(allowed) };
    stop = boost::json::make_error_code(boost::json::error::syntax);
    return false;
}

std::string name_scan::path() const
{
    std::string result;
    for (size_t depth = 0; depth + 1 < m_depth; ++depth) {
        const frame &step = m_frames[depth];
        if (!step.isObject) {
            result += concat({ "[", std::to_string(step.index), "]" });
            continue;
        }
        result += result.empty() ? "" : ".";
        result += shownName(step.names[step.nameCount - 1]);
    }
    return result;
}

} // namespace mustardtrail::config
