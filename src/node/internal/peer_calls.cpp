#include "node/internal/peer_calls.h"

namespace mustardtrail::node
{

void peer_calls::call(const endpoint &to,
    std::string method,
    boost::json::value parameters,
    std::chrono::milliseconds timeout,
    on_answer hook,
    entry_actions &out)
{
    const std::uint64_t number = m_next++;
    m_waiting[number] = std::move(hook);
    out.push_back(call_peer{ number, to, std::move(method), std::move(parameters), timeout });
}

void peer_calls::onAnswer(std::uint64_t call, const result<boost::json::value> &answer, time_point now)
{
    const auto found = m_waiting.find(call);
    if (found == m_waiting.end()) {
        return;
    }
    const on_answer hook = std::move(found->second);
    m_waiting.erase(found);
    hook(answer, now);
}

} // namespace mustardtrail::node
