#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace mustardtrail::gateway
{

namespace
{

stream_event readEvent(std::string text)
{
    constexpr std::string_view field = "id:";
    stream_event event{ std::move(text), std::nullopt, true };
    std::string_view rest = event.text;
    while (!rest.empty()) {
        const size_t end = std::min(rest.find('\n'), rest.size());
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        event.isComment = event.isComment && (line.empty() || line == "\r" || line.starts_with(':'));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc()) {
            event.id = value;
        }
    }
    return event;
}

} // namespace

void event_splitter::append(std::string_view bytes)
{
    m_pending += bytes;
}

std::optional<stream_event> event_splitter::next()
{
    constexpr size_t longestEnd = 4;
    const size_t from = m_searched - std::min(m_searched, longestEnd - 1);
    size_t end = m_pending.find("\n\n", from);
    size_t length = 2;
    const size_t crlfEnd = m_pending.find("\r\n\r\n", from);
    if (crlfEnd < end) {
        end = crlfEnd;
        length = longestEnd;
    }
    if (end == std::string::npos) {
        m_searched = m_pending.size();
        return std::nullopt;
    }
    std::string event = m_pending.substr(0, end + length);
    m_pending.erase(0, end + length);
    m_searched = 0;
    return readEvent(std::move(event));
}

bool event_splitter::isEventTooLong() const
{
    return m_searched > maxEventBytes;
}

bool event_splitter::hasPartialEvent() const
{
    return !m_pending.empty();
}

size_t event_splitter::heldBytes() const
{
    return m_pending.capacity();
}

void event_splitter::discardPartialEvent()
{
    m_pending = {}; // Gives its memory back, which `clear` would keep.
    m_searched = 0;
}

} // namespace mustardtrail::gateway
