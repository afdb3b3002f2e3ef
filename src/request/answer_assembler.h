#pragma once

#include "base/units.h"
#include "request/request_events.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mustardtrail::request
{

/// Reorders the pieces of one attempt's answer by sequence number and detects when the answer is complete.
class answer_assembler
{
public:
    /// Buffers at most `maxAhead` pieces that arrived out of order.
    explicit answer_assembler(std::size_t maxAhead);

    /// Returns false when the piece lies beyond the end of the answer or the buffer is full; ignores duplicates.
    bool add(const attempt_output &piece);
    /// Sets the length of the answer. Returns false when it contradicts the received pieces or an earlier end.
    bool end(std::uint64_t chunks, const std::string &finishReason);
    /// Removes and returns the next piece in sequence, if it has arrived.
    std::optional<attempt_output> take();

    /// Whether the end is known and every piece before it was taken.
    bool isComplete() const;
    /// Whether a piece is missing before one that has arrived or before the end.
    bool hasGap() const;
    /// Number of pieces taken.
    std::uint64_t taken() const;
    const std::string &finishReason() const;

private:
    std::size_t m_maxAhead;
    std::uint64_t m_next = 0;
    std::optional<std::uint64_t> m_end;
    std::string m_finishReason;
    std::map<std::uint64_t, attempt_output> m_ahead;
};

} // namespace mustardtrail::request
