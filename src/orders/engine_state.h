#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace mustardtrail::orders
{

/// One version of a model in an engine's memory.
struct loaded_model {
    model_id model;
    std::string version;

    bool operator==(const loaded_model &) const = default;
    auto operator<=>(const loaded_model &other) const
    {
        return std::tie(model, version) <=> std::tie(other.model, other.version);
    }
};

/// What an engine says of itself before an order is sent.
struct engine_state {
    std::uint64_t incarnation = 0;
    std::set<loaded_model> models;
    std::string role;
    std::uint64_t highestFencingNumber = 0;

    bool serves(const model_id &model) const;
};

} // namespace mustardtrail::orders
