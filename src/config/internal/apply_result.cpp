#include "config/apply_result.h"

namespace mustardtrail::config
{

std::string_view toString(update_source source)
{
    return source == update_source::service ? "service" : "peer";
}

std::string_view toString(apply_outcome outcome)
{
    switch (outcome) {
    case apply_outcome::accepted:
        return "accepted";
    case apply_outcome::unchanged:
        return "unchanged";
    case apply_outcome::older:
        return "older";
    case apply_outcome::conflicting:
        return "conflicting";
    case apply_outcome::invalid:
        return "invalid";
    case apply_outcome::needs_full:
        return "needs_full";
    }
    return "";
}

} // namespace mustardtrail::config
