#pragma once

#include "node/entry_actions.h"
#include "node/entry_events.h"
#include "node/entry_options.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>

namespace mustardtrail::node
{

/// The whole logic of mustardtrail-entry: what to do about requests, attempts, reports and calls of peers.
/// Needs no thread, socket, file or clock. Same events at the same times give the same actions.
class entry_node
{
public:
    explicit entry_node(entry_options options);
    ~entry_node();
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    entry_actions handle(const entry_event &event, time_point now);
    /// When the next clock_tick is due; nothing while there is nothing to wait for.
    std::optional<time_point> nextWake(time_point now) const;

    /// Requests that are not finished, as origin and as owner.
    size_t runningRequests() const;
    /// State for operators.
    boost::json::object dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardtrail::node
