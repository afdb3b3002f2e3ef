#include "config/internal/backend_server_changes.h"

#include "config/internal/concat.h"
#include "config/internal/map_difference.h"

namespace mustardtrail::config
{

namespace
{

constexpr change_subject subject = change_subject::backend_server;

std::string modelsText(const backend_server &server)
{
    std::string text;
    for (const model_id &model : server.models) {
        text += text.empty() ? "" : " ";
        text += model.str();
    }
    return text;
}

/// What a backend server is for, in one word or a few: its models or its service.
std::string purpose(const backend_server &server)
{
    return server.kind == backend_server_kind::engine ? modelsText(server) : server.service.str();
}

void addProperties(const backend_server &before, const backend_server &after, change_list &changes)
{
    const std::string group = after.dataCentre.str();
    const auto compare = [&](std::string_view field, std::string old, std::string next) {
        changes.changed(subject, concat({ after.id.str(), ".", field }), std::move(old), std::move(next), group);
    };
    compare("data_centre", before.dataCentre.str(), after.dataCentre.str());
    compare("address", toString(before.address), toString(after.address));
    compare("models", modelsText(before), modelsText(after));
    compare("model_version", before.modelVersion, after.modelVersion);
    compare("service", before.service.str(), after.service.str());
    compare("checks_fencing", before.checksFencing ? "true" : "false", after.checksFencing ? "true" : "false");
    compare("memory_tokens", std::to_string(before.memoryTokens), std::to_string(after.memoryTokens));
    compare("cold_requests", std::to_string(before.coldRequests), std::to_string(after.coldRequests));
    compare("warm_requests", std::to_string(before.warmRequests), std::to_string(after.warmRequests));
}

} // namespace

void addBackendServers(const configuration &before, const configuration &after, change_list &changes)
{
    const auto addLine = [&](const backend_server &server, change_sign sign, change_kind kind, std::string old, std::string next) {
        changes.add({ sign, subject, kind, server.id.str(), std::move(old), std::move(next), "" }, server.dataCentre.str());
    };
    forEachDifference(
        before.backendServers, after.backendServers, [&](const backend_server_id &, const backend_server *old, const backend_server *next) {
            if (old == nullptr) {
                addLine(*next, change_sign::added, change_kind::added, "", purpose(*next));
                return;
            }
            if (next == nullptr) {
                addLine(*old, change_sign::removed, change_kind::removed, purpose(*old), "");
                return;
            }
            if (old->inService && !next->inService) {
                addLine(*next, change_sign::removed, change_kind::drains, purpose(*old), "");
            }
            if (!old->inService && next->inService) {
                addLine(*next, change_sign::added, change_kind::returns, "", purpose(*next));
            }
            addProperties(*old, *next, changes);
        });
}

} // namespace mustardtrail::config
