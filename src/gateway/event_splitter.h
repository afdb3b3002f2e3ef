#pragma once

#include "gateway/stream_event.h"

#include <string_view>

namespace mustardtrail::gateway
{

/// Splits the bytes of a stream into complete server-sent events. A server may fail in the middle of an event; an
/// incomplete event is never delivered, so that another server can continue after the last complete one.
class event_splitter
{
public:
    void append(std::string_view bytes);
    /// Returns the next complete event with its blank line, or nullopt when more bytes are needed.
    std::optional<stream_event> next();
    /// Whether the incomplete event exceeds every proper one; its server may send it without end.
    bool isEventTooLong() const;
    /// Whether bytes are buffered after the last complete event.
    bool hasPartialEvent() const;
    /// Memory that the buffered bytes take.
    size_t heldBytes() const;
    /// Discards these bytes, before another server continues the stream.
    void discardPartialEvent();

private:
    static constexpr size_t maxEventBytes = 1024 * 1024;

    std::string m_pending;
    size_t m_searched = 0; ///< Pending bytes that are known to hold no end of an event.
};

} // namespace mustardtrail::gateway
