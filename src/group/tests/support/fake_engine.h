#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "group/engine_holdings.h"
#include "group/group_key.h"

#include <map>
#include <set>

namespace mustardtrail::group::testing
{

/// Memory of one engine. A lease frees reservation and segment; an export is held until it is released.
class fake_engine
{
public:
    explicit fake_engine(token_count memoryTokens);

    result<std::string> reserve(const engine_group_id &group, token_count tokens, std::chrono::milliseconds lease, time_point now);
    result<std::string> prefill(const engine_group_id &group, int index, token_count tokens, const std::string &previous, time_point now);
    result<std::string> publish(const engine_group_id &group, time_point now);
    result<std::string> attach(const engine_group_id &group, const std::string &ticket, time_point now);
    result<std::string> release(const engine_group_id &group);
    result<std::string> accept(const attempt_id &attempt, const engine_group_id &group, const std::string &digest, time_point now);
    void endStream(const attempt_id &attempt);
    void restart();

    bool holds(const engine_group_id &group, time_point now);
    bool runs(const attempt_id &attempt) const;
    token_count heldTokens(time_point now);
    engine_holdings holdings(const backend_server_id &id, time_point now);

private:
    struct piece {
        token_count reserved = 0;
        time_point endsAt{};
        std::string digest;
        bool exported = false;
    };

    piece *find(const engine_group_id &group, time_point now);
    void expire(time_point now);

    token_count m_memoryTokens;
    std::uint64_t m_incarnation = 1;
    std::map<engine_group_id, piece> m_pieces;
    std::set<attempt_id> m_seen;
    std::set<attempt_id> m_streams;
};

} // namespace mustardtrail::group::testing
