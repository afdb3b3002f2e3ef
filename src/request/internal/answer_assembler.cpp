#include "request/answer_assembler.h"

#include <utility>

namespace mustardtrail::request
{

answer_assembler::answer_assembler(std::size_t maxAhead)
    : m_maxAhead(maxAhead)
{
}

bool answer_assembler::add(const attempt_output &piece)
{
    if (m_end && piece.sequence >= *m_end) {
        return false;
    }
    if (piece.sequence < m_next || m_ahead.contains(piece.sequence)) {
        return true;
    }
    // The next piece in sequence is accepted even when the buffer is full.
    if (piece.sequence > m_next && m_ahead.size() >= m_maxAhead) {
        return false;
    }
    m_ahead.emplace(piece.sequence, piece);
    return true;
}

bool answer_assembler::end(std::uint64_t chunks, const std::string &finishReason)
{
    const bool beyond = chunks < m_next || (!m_ahead.empty() && m_ahead.rbegin()->first >= chunks);
    const bool contradicts = m_end && (*m_end != chunks || m_finishReason != finishReason);
    if (beyond || contradicts || finishReason.empty()) {
        return false;
    }
    m_end = chunks;
    m_finishReason = finishReason;
    return true;
}

std::optional<attempt_output> answer_assembler::take()
{
    const auto first = m_ahead.begin();
    if (first == m_ahead.end() || first->first != m_next) {
        return std::nullopt;
    }
    std::optional<attempt_output> piece = std::move(first->second);
    m_ahead.erase(first);
    ++m_next;
    return piece;
}

bool answer_assembler::isComplete() const
{
    return m_end && *m_end == m_next;
}

bool answer_assembler::hasGap() const
{
    return !m_ahead.empty() || (m_end && *m_end != m_next);
}

std::uint64_t answer_assembler::taken() const
{
    return m_next;
}

const std::string &answer_assembler::finishReason() const
{
    return m_finishReason;
}

} // namespace mustardtrail::request
