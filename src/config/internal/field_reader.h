#pragma once

#include "base/endpoint.h"
#include "config/internal/problem_list.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace mustardtrail::config
{

/// Reads the fields of one JSON object; names that are passed in must outlive it. Each bad field is reported and reads as empty or zero;
/// fields that were not asked for are reported by finish().
class field_reader
{
public:
    field_reader(const boost::json::object &object, std::string key, std::string path, problem_list &problems);

    std::string id(std::string_view name);
    bool boolean(std::string_view name);
    std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most);
    std::chrono::milliseconds duration(std::string_view name, std::chrono::milliseconds least, std::chrono::milliseconds most);
    /// Number of bytes, or text with a unit.
    std::int64_t bytes(std::string_view name, std::int64_t least, std::int64_t most);
    std::vector<std::string> ids(std::string_view name);
    /// One of the given words; empty when it is another.
    std::string choice(std::string_view name, const std::vector<std::string_view> &words);
    endpoint address(std::string_view name);
    std::string text(std::string_view name);
    const boost::json::array *list(std::string_view name); ///< Null when it is missing or no list.
    const boost::json::value *any(std::string_view name); ///< Null when it is missing.
    bool has(std::string_view name) const;
    /// Leaves fields that were not asked for unreported: what may stand there is not known.
    void skipUnknown();
    void finish();
    void report(error_code code, std::string_view name, std::string given, std::string allowed);

private:
    const boost::json::string *findText(std::string_view name);
    std::string pathOf(std::string_view name) const;
    bool checkRange(std::string_view name, std::int64_t value, std::int64_t least, std::int64_t most);

    const boost::json::object &m_object;
    std::string m_key;
    std::string m_path;
    problem_list &m_problems;
    std::vector<std::string_view> m_known;
    bool m_skipUnknown = false;
};

} // namespace mustardtrail::config
