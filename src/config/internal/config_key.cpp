#include "config/internal/config_key.h"

#include <algorithm>
#include <cctype>

namespace mustardtrail::config
{

namespace
{

constexpr size_t maxIdBytes = 64;
constexpr std::string_view backendServersPrefix = "backend_servers/";

struct fixed_key {
    std::string_view name;
    key_kind kind;
};

constexpr std::array<fixed_key, 6> fixedKeys{ {
    { "classes", key_kind::classes },
    { "customers", key_kind::customers },
    { "models", key_kind::models },
    { "data_centres", key_kind::data_centres },
    { "instances", key_kind::instances },
    { "weight_store", key_kind::weight_store },
} };

bool isIdCharacter(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '.' || character == '_' || character == '-';
}

} // namespace

const std::string allowedId = "A-Z a-z 0-9 . _ - (1..64)";

bool config_key::isList() const
{
    return kind != key_kind::weight_store;
}

bool isValidId(std::string_view text)
{
    return !text.empty() && text.size() <= maxIdBytes && std::all_of(text.begin(), text.end(), isIdCharacter);
}

std::optional<config_key> configKeyFromString(std::string_view text)
{
    for (const fixed_key &candidate : fixedKeys) {
        if (candidate.name == text) {
            return config_key{ candidate.kind, {}, std::string(text) };
        }
    }
    if (!text.starts_with(backendServersPrefix)) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(backendServersPrefix.size());
    const size_t slash = rest.find('/');
    const std::string_view name = rest.substr(0, slash);
    const bool hasPart = slash != std::string_view::npos;
    if (!isValidId(name) || (hasPart && !isValidId(rest.substr(slash + 1)))) {
        return std::nullopt;
    }
    return config_key{ key_kind::backend_servers, data_centre_id(std::string(name)), std::string(text) };
}

std::string allowedKeys()
{
    std::string result;
    for (const fixed_key &candidate : fixedKeys) {
        result += std::string(candidate.name) + " | ";
    }
    return result.append(backendServersPrefix) + "DC[/PART]";
}

} // namespace mustardtrail::config
