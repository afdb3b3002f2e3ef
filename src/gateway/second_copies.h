#pragma once

#include "gateway/latency_quantiles.h"
#include "gateway/overtaken_servers.h"
#include "gateway/second_copy_account.h"

namespace mustardtrail::gateway
{

/// What one instance knows for its decisions on second copies. Nothing is recorded while `limit` is 0.
struct second_copies {
    double limit = 0.0; ///< Work of copies as a share of the requests' work; 0: no copies.
    latency_quantiles latencies;
    second_copy_account account;
    overtaken_servers overtaken;
};

} // namespace mustardtrail::gateway
