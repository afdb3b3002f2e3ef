#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::api
{

/// Cuts a byte stream of server-sent events into the data of each event; comment lines are dropped.
class event_parser
{
public:
    explicit event_parser(size_t largestEventBytes = 1024 * 1024);

    void push(std::string_view bytes);
    /// Data of the next whole event, or nothing until more bytes come.
    std::optional<std::string> next();
    /// True once an event was larger than allowed; the stream is then unusable.
    bool isBroken() const;

private:
    std::string m_buffer;
    size_t m_largestEventBytes;
    bool m_broken = false;
};

} // namespace mustardtrail::api
