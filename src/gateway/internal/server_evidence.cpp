#include "gateway/server_evidence.h"

namespace mustardtrail::gateway
{

// A relay does not tell why it reached nobody: its own path may be lost as well.
server_life lifeShownBy(const server_evidence &evidence)
{
    switch (evidence.seen) {
    case server_sign::bytes:
        return server_life::runs;
    case server_sign::other_start:
        return server_life::ended;
    case server_sign::refused: // A cut refuses new connections as well, and the first instances to see it have lost no others yet.
    case server_sign::reset:
    case server_sign::silent:
    case server_sign::no_report:
    case server_sign::nobody_answered:
        break;
    }
    return server_life::unknown;
}

std::string_view toString(server_life life)
{
    switch (life) {
    case server_life::runs:
        return "yes";
    case server_life::ended:
        return "no";
    case server_life::unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(server_sign seen)
{
    switch (seen) {
    case server_sign::bytes:
        return "bytes";
    case server_sign::other_start:
        return "otherStart";
    case server_sign::refused:
        return "refused";
    case server_sign::reset:
        return "reset";
    case server_sign::silent:
        return "silent";
    case server_sign::no_report:
        return "noReport";
    case server_sign::nobody_answered:
        break;
    }
    return "nobodyAnswered";
}

} // namespace mustardtrail::gateway
