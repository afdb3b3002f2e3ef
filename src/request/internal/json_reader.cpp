#include "request/internal/json_reader.h"

#include <boost/json/object.hpp>

namespace mustardtrail::request
{

namespace
{
constexpr std::uint64_t maxDurationMs = 86'400'000; // One day.
}

json_reader::json_reader(const boost::json::value &message)
    : m_object(message.if_object())
{
    if (m_object == nullptr) {
        m_fault = "message";
    }
}

const boost::json::value *json_reader::member(std::string_view name)
{
    const boost::json::value *found = m_object == nullptr ? nullptr : m_object->if_contains(name);
    if (found == nullptr) {
        reject(name);
    }
    m_read.emplace(name);
    return found;
}

std::string json_reader::text(std::string_view name, std::size_t maxBytes)
{
    const boost::json::value *found = member(name);
    const boost::json::string *value = found == nullptr ? nullptr : found->if_string();
    if (value == nullptr || value->empty() || value->size() > maxBytes) {
        reject(name);
        return "";
    }
    return std::string(value->data(), value->size());
}

std::uint64_t json_reader::number(std::string_view name)
{
    const boost::json::value *found = member(name);
    if (found != nullptr && found->is_uint64()) {
        return found->get_uint64();
    }
    if (found != nullptr && found->is_int64() && found->get_int64() >= 0) {
        return static_cast<std::uint64_t>(found->get_int64());
    }
    reject(name);
    return 0;
}

std::chrono::milliseconds json_reader::duration(std::string_view name)
{
    const std::uint64_t value = number(name);
    if (value > maxDurationMs) {
        reject(name);
        return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(value);
}

bool json_reader::flag(std::string_view name)
{
    const boost::json::value *found = member(name);
    if (found == nullptr || !found->is_bool()) {
        reject(name);
        return false;
    }
    return found->get_bool();
}

const boost::json::array *json_reader::items(std::string_view name, std::size_t maxItems)
{
    const boost::json::value *found = member(name);
    const boost::json::array *list = found == nullptr ? nullptr : found->if_array();
    if (list == nullptr || list->size() > maxItems) {
        reject(name);
        return nullptr;
    }
    return list;
}

verdict json_reader::outcome(std::string_view name)
{
    const std::optional<verdict> value = verdictFromString(text(name, maxIdBytes));
    if (!value) {
        reject(name);
    }
    return value.value_or(verdict::may_have_run);
}

bool json_reader::has(std::string_view name) const
{
    return m_object != nullptr && m_object->contains(name);
}

void json_reader::reject(std::string_view name)
{
    if (m_fault.empty()) {
        m_fault = name;
    }
}

std::optional<error> json_reader::fault() const
{
    std::string fault = m_fault;
    if (fault.empty() && m_object->size() != m_read.size()) {
        fault = "unknown";
    }
    if (fault.empty()) {
        return std::nullopt;
    }
    return error{ error_code::peer_message_invalid, verdict::not_run, "member=" + fault, {} };
}

} // namespace mustardtrail::request
