#include "config/internal/cross_checks.h"

#include "config/duration_text.h"
#include "config/internal/concat.h"

#include <functional>
#include <unordered_map>

namespace mustardtrail::config
{

namespace
{

constexpr size_t maxShownIds = 10;

template<typename range, typename name> std::string listed(const range &values, const name &nameOf)
{
    std::string result;
    size_t count = 0;
    for (const auto &value : values) {
        if (count == maxShownIds) {
            return result + " | ...";
        }
        result += (count == 0 ? "" : " | ") + nameOf(value);
        ++count;
    }
    return result;
}

struct endpoint_hash {
    size_t operator()(const endpoint &value) const
    {
        return std::hash<std::string>{}(value.address) * 31 + value.port;
    }
};

using address_owners = std::unordered_map<endpoint, const backend_server *, endpoint_hash>;

// A field that could not be read is reported already and holds zero or nothing here.

void checkClasses(const configuration &value, problem_list &problems)
{
    for (const auto &[id, item] : value.classes) {
        if (item.totalTarget.count() != 0 && item.firstTokenTarget > item.totalTarget) {
            problems.add({ error_code::config_out_of_range,
                "classes",
                id.str() + ".first_token_target",
                durationToText(item.firstTokenTarget),
                concat({ "<= total_target ", durationToText(item.totalTarget) }) });
        }
    }
}

void checkBackendServer(const configuration &value, const backend_server &server, const key_of_server &keyOf, problem_list &problems)
{
    if (!value.dataCentres.contains(server.dataCentre)) {
        problems.add({ error_code::config_unknown_reference,
            keyOf(server),
            server.id.str(),
            server.dataCentre.str(),
            listed(value.dataCentres, [](const auto &item) {
                return item.first.str();
            }) });
    }
    for (const model_id &model : server.models) {
        if (!value.models.contains(model)) {
            problems.add({ error_code::config_unknown_reference,
                keyOf(server),
                server.id.str() + ".models",
                model.str(),
                listed(value.models, [](const model_id &item) {
                    return item.str();
                }) });
        }
    }
    if (server.warmRequests != 0 && server.coldRequests > server.warmRequests) {
        problems.add({ error_code::config_out_of_range,
            keyOf(server),
            server.id.str() + ".cold_requests",
            std::to_string(server.coldRequests),
            concat({ "<= warm_requests ", std::to_string(server.warmRequests) }) });
    }
}

void checkAddress(address_owners &owners, const backend_server &server, const key_of_server &keyOf, problem_list &problems)
{
    if (server.address.address.empty()) {
        return;
    }
    const auto [entry, isNew] = owners.emplace(server.address, &server);
    if (!isNew) {
        problems.add({ error_code::config_duplicate_id,
            keyOf(server),
            server.id.str() + ".address",
            toString(server.address),
            concat({ "!= ", entry->second->id.str() }) });
    }
}

} // namespace

void checkReferences(const configuration &value, const key_of_server &keyOf, problem_list &problems)
{
    checkClasses(value, problems);
    address_owners owners;
    owners.reserve(value.backendServers.size());
    for (const auto &[id, server] : value.backendServers) {
        checkBackendServer(value, server, keyOf, problems);
        checkAddress(owners, server, keyOf, problems);
    }
}

} // namespace mustardtrail::config
