#pragma once

#include "base/error.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace mustardtrail::group
{

/// Reads members of one message; keeps the first fault and refuses members that nobody asked for.
class message_reader
{
public:
    explicit message_reader(const boost::json::value &document);

    bool has(std::string_view key) const;
    std::string text(std::string_view key); ///< Not empty.
    std::string optionalText(std::string_view key);
    std::int64_t number(std::string_view key, std::int64_t least, std::int64_t most);
    std::uint64_t unsignedNumber(std::string_view key);
    void reject(std::string_view key);

    template<typename message> result<message> finish(message value)
    {
        rejectUnread();
        if (!m_fault.empty()) {
            return tl::unexpected(error{ error_code::peer_message_invalid, verdict::not_run, "member=" + m_fault, std::nullopt });
        }
        return value;
    }

private:
    const boost::json::value *take(std::string_view key);
    void rejectUnread();

    const boost::json::object *m_object;
    std::set<std::string, std::less<>> m_read;
    std::string m_fault;
};

} // namespace mustardtrail::group
