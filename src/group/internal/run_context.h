#pragma once

#include "base/random_source.h"
#include "group/group_actions.h"
#include "group/group_options.h"
#include "group/internal/release_queue.h"
#include "membership/fleet_view.h"

#include <memory>

namespace mustardtrail::group
{

/// What the runs of one coordinator share.
struct run_context {
    group_options options;
    free_tokens_hook freeTokens;
    random_source random;
    std::shared_ptr<const membership::fleet_view> view;
    release_queue releases;
    group_actions actions;

    bool viewConfirmed(time_point now) const
    {
        return view != nullptr && view->isConfirmed(now);
    }
};

} // namespace mustardtrail::group
