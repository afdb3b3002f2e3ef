#include "programs/view/engine_orders.h"

#include "base/json_access.h"
#include "http/status.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::view
{

namespace json = boost::json;

result<orders::engine_state> engineStateFrom(const result<std::string> &body)
{
    if (!body) {
        return tl::unexpected(body.error());
    }
    const json::object message = json_access::objectFromText(*body);
    const json::array *models = json_access::arrayAt(message, "models");
    if (models == nullptr) {
        return tl::unexpected(error{ error_code::backend_answer_invalid, verdict::ran, "field=models", {} });
    }
    orders::engine_state state;
    state.incarnation = json_access::unsignedOr(message, "incarnation", 0);
    state.role = json_access::textOr(message, "role");
    state.highestFencingNumber = json_access::unsignedOr(message, "highest_fencing", 0);
    for (const json::value &value : *models) {
        if (const json::object *model = value.if_object()) {
            state.models.insert({ model_id(json_access::textOr(*model, "model")), json_access::textOr(*model, "version") });
        }
    }
    return state;
}

http::request_message orderRequest(const orders::engine_order &order)
{
    const std::string_view kind = toString(order.kind);
    json::object body{ { "order", json::string_view(kind.data(), kind.size()) },
        { "model", order.model.model.str() },
        { "version", order.model.version },
        { "role", order.role },
        { "fencing", order.fencingNumber } };
    http::request_message message;
    message.method = "POST";
    message.target = "/orders";
    message.headers.add("Content-Type", "application/json");
    message.body = std::make_shared<const std::string>(json::serialize(body));
    return message;
}

result<void> orderOutcome(const result<http::response_message> &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == http::statusOk) {
        return {};
    }
    const error_code code = answer->status == http::statusConflict ? error_code::order_fenced_off : error_code::backend_refused;
    return tl::unexpected(error{ code, verdict::not_run, "status=" + std::to_string(answer->status), {} });
}

} // namespace mustardtrail::view
