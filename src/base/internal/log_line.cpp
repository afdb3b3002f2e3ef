#include "base/log_line.h"

#include <algorithm>
#include <cstdio>

namespace mustardtrail
{

namespace
{

bool isPlain(unsigned char byte)
{
    return byte > ' ' && byte != '"' && byte != '=' && byte != '\\' && byte != 0x7f;
}

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (byte < ' ' || byte == 0x7f) {
            char escape[8];
            std::snprintf(escape, sizeof escape, "\\x%02x", byte);
            text += escape;
        } else {
            text += character;
        }
    }
}

} // namespace

log_line::log_line(std::string_view event)
{
    add("event", event);
}

log_line &log_line::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text.append(key);
    m_text += '=';
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        m_text.append(value);
        return *this;
    }
    m_text += '"';
    appendEscaped(m_text, value);
    m_text += '"';
    return *this;
}

log_line &log_line::add(std::string_view key, std::int64_t value)
{
    return add(key, std::to_string(value));
}

log_line &log_line::add(std::string_view key, std::chrono::milliseconds value)
{
    return add(key, std::to_string(value.count()) + "ms");
}

const std::string &log_line::str() const
{
    return m_text;
}

} // namespace mustardtrail
