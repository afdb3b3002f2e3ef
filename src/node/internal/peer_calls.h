#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "node/entry_actions.h"

#include <boost/json/value.hpp>

#include <functional>
#include <map>

namespace mustardtrail::node
{

/// Matches the answers of peers to the calls of this instance.
class peer_calls
{
public:
    using on_answer = std::function<void(const result<boost::json::value> &answer, time_point now)>;

    /// Emits a call; the hook runs once, with the answer or with the failure that the host reports.
    void call(const endpoint &to,
        std::string method,
        boost::json::value parameters,
        std::chrono::milliseconds timeout,
        on_answer hook,
        entry_actions &out);
    void onAnswer(std::uint64_t call, const result<boost::json::value> &answer, time_point now);

private:
    std::uint64_t m_next = 1;
    std::map<std::uint64_t, on_answer> m_waiting;
};

} // namespace mustardtrail::node
