#pragma once

#include "base/error.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace mustardtrail::request
{

/// Longest id accepted in a message, in bytes.
constexpr std::size_t maxIdBytes = 256;

/// Reads the members of one message and records the first that is missing, mistyped or out of range.
class json_reader
{
public:
    explicit json_reader(const boost::json::value &message);

    /// Reads a string of 1 to `maxBytes` bytes.
    std::string text(std::string_view name, std::size_t maxBytes);
    std::uint64_t number(std::string_view name);
    std::chrono::milliseconds duration(std::string_view name);
    bool flag(std::string_view name);
    verdict outcome(std::string_view name);
    /// Returns nullptr unless the member is an array of at most `maxItems`.
    const boost::json::array *items(std::string_view name, std::size_t maxItems);
    /// Whether an optional member is present.
    bool has(std::string_view name) const;
    void reject(std::string_view name);

    /// Returns the first fault, or an unknown member, that is, one that was not read.
    std::optional<error> fault() const;

private:
    const boost::json::value *member(std::string_view name);

    const boost::json::object *m_object;
    std::set<std::string> m_read;
    std::string m_fault;
};

} // namespace mustardtrail::request
