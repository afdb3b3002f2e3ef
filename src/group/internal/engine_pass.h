#pragma once

#include "group/memory_reconciler.h"

namespace mustardtrail::group
{

/// One comparison of an engine's lists with what its owner knows.
struct memory_reconciler::engine_pass {
    const engine_holdings &holdings;
    const known_streams &streams;
    const membership::fleet_view &view;
    time_point now;
    engine_record &record;
    reconcile_actions actions;
};

} // namespace mustardtrail::group
