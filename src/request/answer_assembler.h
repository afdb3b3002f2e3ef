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

/// Puts the pieces of one attempt's answer in order and tells whether it is whole.
class answer_assembler
{
public:
    /// Holds at most `maxAhead` pieces that arrived before their turn.
    explicit answer_assembler(std::size_t maxAhead);

    /// False: the piece contradicts the answer or there are too many ahead of their turn.
    bool add(const attempt_output &piece);
    /// False: the end contradicts the pieces or an earlier end.
    bool end(std::uint64_t chunks, const std::string &finishReason);
    /// Next piece whose turn it is, if it has arrived.
    std::optional<attempt_output> take();

    /// Every piece up to the explicit end was taken.
    bool isComplete() const;
    /// Something arrived whose turn has not come, or the end came before the last piece.
    bool hasGap() const;
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
