#pragma once

#include "gateway/cell_summary.h"

#include <map>

namespace mustardtrail::gateway
{

/// The latest summary of each other cell.
class cell_summaries
{
public:
    /// Returns false when a summary of the cell that is as new was recorded before.
    bool record(cell_summary summary);
    /// Returns the expected load of the servers in the cell's summary, with the prefill done since; empty when it is too old.
    std::map<server_key, server_load> loadsOf(const cell_id &cell, time_point now) const;
    void expire(time_point now);

    static constexpr std::chrono::milliseconds maxAge{ 1'500 }; ///< Older ones say nothing about the load now.

private:
    std::map<cell_id, cell_summary> m_latest;
};

} // namespace mustardtrail::gateway
