#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardtrail
{

/// Builds one log line of key=value pairs. Values with spaces, quotes or control bytes are quoted and escaped.
class log_line
{
public:
    explicit log_line(std::string_view event);

    log_line &add(std::string_view key, std::string_view value);
    log_line &add(std::string_view key, std::int64_t value);
    log_line &add(std::string_view key, std::chrono::milliseconds value);

    const std::string &str() const;

private:
    std::string m_text;
};

} // namespace mustardtrail
