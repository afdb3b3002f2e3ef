#include "api/event_parser.h"

namespace mustardtrail::api
{

event_parser::event_parser(size_t largestEventBytes)
    : m_largestEventBytes(largestEventBytes)
{
}

void event_parser::push(std::string_view bytes)
{
    m_buffer.append(bytes);
}

std::optional<std::string> event_parser::next()
{
    constexpr std::string_view prefix = "data: ";
    constexpr std::string_view end = "\n\n";
    while (!m_broken) {
        const size_t stop = m_buffer.find(end);
        if (stop == std::string::npos) {
            m_broken = m_buffer.size() > m_largestEventBytes;
            return std::nullopt;
        }
        std::string event = m_buffer.substr(0, stop);
        m_buffer.erase(0, stop + end.size());
        if (event.starts_with(prefix)) {
            event.erase(0, prefix.size());
            return event;
        }
    }
    return std::nullopt;
}

bool event_parser::isBroken() const
{
    return m_broken;
}

} // namespace mustardtrail::api
