#pragma once

#include "base/clock.h"
#include "group/group_actions.h"
#include "group/group_events.h"
#include "group/group_options.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <boost/json/array.hpp>

namespace mustardtrail::group
{

/// Pieces of ended groups that are not yet known to be free; repeats each release until it is answered.
class release_queue
{
public:
    /// Frees the group at the owners that were asked, and at the engine if a call went there.
    void add(const group_key &key, const backend_server_id &backend, const std::set<instance_id> &owners, bool atEngine);
    /// Sends what was added and not sent yet.
    void flush(const group_options &options, time_point now, group_actions &actions);

    void on(const owner_released &event);
    void on(const engine_replied &event);
    void on(const engine_lost &event);
    void onTick(const group_options &options, time_point now, group_actions &actions);

    std::optional<time_point> nextWake() const;
    bool empty() const;
    boost::json::array dump() const;

private:
    struct piece {
        std::set<instance_id> owners;
        bool atEngine = false;
        time_point nextAt{};
        std::optional<time_point> giveUpAt;

        bool done() const;
    };
    using piece_key = std::pair<group_key, backend_server_id>;

    void send(const piece_key &key, const piece &item, const group_options &options, time_point now, group_actions &actions) const;

    std::map<piece_key, piece> m_pieces;
};

} // namespace mustardtrail::group
