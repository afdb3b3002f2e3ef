#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "group/group_actions.h"
#include "group/group_events.h"
#include "group/group_options.h"

#include <memory>
#include <optional>

#include <boost/json/value.hpp>

namespace mustardtrail::group
{

/// Runs the groups of this entry instance: reserves memory, prefills the segments in order,
/// starts the completion and frees every piece at the end, whatever the end was.
class group_coordinator
{
public:
    group_coordinator(group_options options, free_tokens_hook freeTokens, random_source random);
    ~group_coordinator();
    group_coordinator(group_coordinator &&) noexcept;

    group_actions handle(const group_event &event, time_point now);
    group_actions onTick(time_point now);
    std::optional<time_point> nextWake() const;

    /// Checked by the host just before it sends a call that works for a group (not a release).
    bool maySend(const engine_call &call, time_point now) const;

    bool idle() const; ///< No group runs and nothing is left to free.
    boost::json::value dump(time_point now) const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace mustardtrail::group
