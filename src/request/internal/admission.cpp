#include "request/internal/admission.h"

#include "request/key_codec.h"

namespace mustardtrail::request
{

namespace
{

tl::unexpected<error> refusal(error_code code, const std::string &detail)
{
    error failure;
    failure.code = code;
    failure.outcome = verdict::not_run;
    failure.detail = detail;
    return tl::make_unexpected(failure);
}

} // namespace

result<config::work_class> checkRequest(
    const caller_request &request, const config::configuration &config, const std::set<service_id> &services)
{
    const auto workClass = config.classes.find(request.workClass);
    if (workClass == config.classes.end()) {
        return refusal(error_code::request_unknown_class, "class=" + request.workClass.str());
    }
    if (!config.customers.contains(request.customer)) {
        return refusal(error_code::request_unknown_customer, "customer=" + request.customer.str());
    }
    if (request.model.empty() == request.service.empty()) {
        return refusal(error_code::request_malformed, "reason=model_or_service");
    }
    if (!request.model.empty() && !config.models.contains(request.model)) {
        return refusal(error_code::request_unknown_model, "model=" + request.model.str());
    }
    if (!request.service.empty() && !services.contains(request.service)) {
        return refusal(error_code::request_unknown_model, "service=" + request.service.str());
    }
    if (request.idempotencyKey.size() > maxKeyBytes) {
        return refusal(error_code::request_malformed, "reason=key_too_long");
    }
    return workClass->second;
}

std::set<service_id> servicesOf(const config::configuration &config)
{
    std::set<service_id> services;
    for (const auto &[id, backend] : config.backendServers) {
        if (backend.kind == config::backend_server_kind::service) {
            services.insert(backend.service);
        }
    }
    return services;
}

} // namespace mustardtrail::request
