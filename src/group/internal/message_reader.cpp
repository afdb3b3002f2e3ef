#include "group/internal/message_reader.h"

namespace mustardtrail::group
{

namespace
{

constexpr size_t textLimit = 512; ///< Bytes of an id or a detail.

} // namespace

message_reader::message_reader(const boost::json::value &document)
    : m_object(document.if_object())
{
    if (m_object == nullptr) {
        m_fault = "(document)";
    }
}

bool message_reader::has(std::string_view key) const
{
    return m_object != nullptr && m_object->if_contains(key) != nullptr;
}

std::string message_reader::text(std::string_view key)
{
    std::string value = optionalText(key);
    if (value.empty()) {
        reject(key);
    }
    return value;
}

std::string message_reader::optionalText(std::string_view key)
{
    const boost::json::value *member = take(key);
    if (member == nullptr) {
        return {};
    }
    if (!member->is_string() || member->get_string().size() > textLimit) {
        reject(key);
        return {};
    }
    return std::string(member->get_string());
}

std::int64_t message_reader::number(std::string_view key, std::int64_t least, std::int64_t most)
{
    const boost::json::value *member = take(key);
    if (member == nullptr || !member->is_int64() || member->get_int64() < least || member->get_int64() > most) {
        reject(key);
        return least;
    }
    return member->get_int64();
}

std::uint64_t message_reader::unsignedNumber(std::string_view key)
{
    const boost::json::value *member = take(key);
    if (member != nullptr && member->is_uint64()) {
        return member->get_uint64();
    }
    if (member == nullptr || !member->is_int64() || member->get_int64() < 0) {
        reject(key);
        return 0;
    }
    return static_cast<std::uint64_t>(member->get_int64());
}

void message_reader::reject(std::string_view key)
{
    if (m_fault.empty()) {
        m_fault = key;
    }
}

const boost::json::value *message_reader::take(std::string_view key)
{
    m_read.emplace(key);
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

void message_reader::rejectUnread()
{
    if (m_object == nullptr) {
        return;
    }
    for (const auto &member : *m_object) {
        if (!m_read.contains(std::string_view(member.key()))) {
            reject("(unknown)");
        }
    }
}

} // namespace mustardtrail::group
