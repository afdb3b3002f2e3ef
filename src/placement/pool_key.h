#pragma once

#include "placement/work_item.h"

#include <compare>
#include <functional>
#include <string>

namespace mustardtrail::placement
{

enum class pool_kind {
    model,
    service,
};

/// Identifies a pool of interchangeable backend servers: those of one model or of one plain service.
struct pool_key {
    pool_kind kind = pool_kind::model;
    std::string name;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const pool_key &) const = default;
};

inline pool_key poolKeyOf(const work_item &work)
{
    if (work.model.empty()) {
        return { pool_kind::service, work.service.str() };
    }
    return { pool_kind::model, work.model.str() };
}

} // namespace mustardtrail::placement

template<> struct std::hash<mustardtrail::placement::pool_key> {
    size_t operator()(const mustardtrail::placement::pool_key &key) const noexcept
    {
        return std::hash<std::string>{}(key.name) * 2 + static_cast<size_t>(key.kind);
    }
};
