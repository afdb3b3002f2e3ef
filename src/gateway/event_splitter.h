#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::gateway
{

/// Whole server-sent events out of the pieces of a stream. A server may stop in the middle of an event; what is not
/// whole is never delivered, so that another server can go on behind the last whole one.
class event_splitter
{
public:
    void append(std::string_view bytes);
    /// The next whole event with its blank line; nothing when more bytes are needed.
    std::optional<std::string> next();
    /// Id of the event that next() gave last, if it had one.
    std::optional<std::uint64_t> lastId() const;
    /// Whether there are bytes behind the last whole event.
    bool hasPartialEvent() const;
    /// Forgets them, when another server goes on with the stream.
    void discardPartialEvent();

private:
    std::string m_pending;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace mustardtrail::gateway
