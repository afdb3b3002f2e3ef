#pragma once

#include "gateway/stream_event.h"

namespace mustardtrail::gateway
{

/// Position of a caller's stream, which one server after another may write. Decides which events may follow the delivered ones.
class stream_position
{
public:
    stream_position() = default;
    /// `callersLastId`: the caller itself resumes a stream after this event.
    explicit stream_position(std::optional<std::uint64_t> callersLastId);

    /// The next events come from another answer, whose first one must go on where the delivered ones end.
    void beginAnswer();
    /// False when a piece would be missing or come twice.
    bool mayFollow(const stream_event &event) const;
    void recordDelivered(const stream_event &event);

    /// Id after which a server can go on; nothing where no event with an id is known.
    std::optional<std::uint64_t> lastId() const;
    /// Whether the caller has events of this stream, so that another answer must continue it.
    bool hasDelivered() const;

private:
    std::optional<std::uint64_t> m_lastId;
    bool m_hasDelivered = false;
    bool m_isFirstOfAnswer = true;
    bool m_hasSteps = false; ///< Two delivered events have ids.
    bool m_areIdsConsecutive = true;
};

} // namespace mustardtrail::gateway
