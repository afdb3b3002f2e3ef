#pragma once

#include "base/ids.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::config
{

enum class key_kind {
    classes,
    customers,
    models,
    data_centres,
    instances,
    weight_store,
    backend_servers,
};

/// Key of the published configuration, read from its text.
struct config_key {
    key_kind kind = key_kind::classes;
    data_centre_id dataCentre; ///< Backend servers only; a data centre may spread them over several keys.
    std::string text;

    /// True when the value is a list of elements with ids; else it is one object.
    bool isList() const;
};

/// Keys without which a configuration is refused.
constexpr std::array<std::string_view, 4> requiredKeys{ "classes", "customers", "data_centres", "models" };

std::optional<config_key> configKeyFromString(std::string_view text);
/// All keys, for messages.
std::string allowedKeys();

/// Ids: letters, digits, '.', '_' and '-', at most 64.
bool isValidId(std::string_view text);
extern const std::string allowedId;

} // namespace mustardtrail::config
