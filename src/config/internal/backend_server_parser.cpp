#include "config/internal/backend_server_parser.h"

namespace mustardtrail::config
{

namespace
{

constexpr token_count leastMemoryTokens = 1'000;
constexpr token_count mostMemoryTokens = 1'000'000'000;
constexpr std::int64_t leastRequests = 1;
constexpr std::int64_t mostRequests = 100'000;

void parseEngine(field_reader &fields, backend_server &value)
{
    for (const std::string &model : fields.ids("models")) {
        value.models.emplace_back(model);
    }
    value.modelVersion = fields.id("model_version");
    value.checksFencing = fields.boolean("checks_fencing");
    value.memoryTokens = fields.integer("memory_tokens", leastMemoryTokens, mostMemoryTokens);
}

} // namespace

void parseBackendServer(const config_key &key, field_reader &fields, configuration &into, problem_list &problems)
{
    backend_server value;
    value.dataCentre = key.dataCentre;
    value.id = backend_server_id(fields.id("id"));
    const std::string kind = fields.choice("kind", { "engine", "service" });
    value.address = fields.address("address");
    value.inService = fields.boolean("in_service");
    value.coldRequests = static_cast<int>(fields.integer("cold_requests", leastRequests, mostRequests));
    value.warmRequests = static_cast<int>(fields.integer("warm_requests", leastRequests, mostRequests));
    if (kind.empty()) {
        fields.skipUnknown();
        return;
    }
    if (kind == "engine") {
        parseEngine(fields, value);
    } else {
        value.kind = backend_server_kind::service;
        value.service = service_id(fields.id("service"));
    }
    const auto held = into.backendServers.find(value.id);
    if (held != into.backendServers.end()) {
        problems.add({ error_code::config_duplicate_id, key.text, value.id.str(), held->second.dataCentre.str(), "1" });
        return;
    }
    const backend_server_id id = value.id;
    into.backendServers.emplace(id, std::move(value));
}

} // namespace mustardtrail::config
