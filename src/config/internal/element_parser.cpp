#include "config/internal/element_parser.h"

#include "config/internal/backend_server_parser.h"
#include "config/internal/field_reader.h"

#include <chrono>

namespace mustardtrail::config
{

namespace
{

constexpr std::chrono::milliseconds leastTarget{ 1 };
constexpr std::chrono::milliseconds longestTarget = std::chrono::hours(24);
constexpr std::int64_t leastBytesPerSecond = 1;
constexpr std::int64_t mostBytesPerSecond = 1'000'000'000'000'000;

void parseClass(field_reader &fields, configuration &into)
{
    work_class value;
    value.id = class_id(fields.id("id"));
    value.firstTokenTarget = fields.duration("first_token_target", leastTarget, longestTarget);
    value.totalTarget = fields.duration("total_target", leastTarget, longestTarget);
    value.repeatable = fields.boolean("repeatable");
    into.classes[value.id] = value;
}

void parseDataCentre(field_reader &fields, configuration &into)
{
    data_centre value;
    value.id = data_centre_id(fields.id("id"));
    value.region = fields.id("region");
    value.inService = fields.boolean("in_service");
    into.dataCentres[value.id] = value;
}

void parseInstance(field_reader &fields, configuration &into)
{
    const instance_id id(fields.id("id"));
    if (fields.boolean("in_service")) {
        into.instancesOutOfService.erase(id);
    } else {
        into.instancesOutOfService.insert(id);
    }
}

void parseFields(const config_key &key, field_reader &fields, configuration &into, problem_list &problems)
{
    switch (key.kind) {
    case key_kind::classes:
        return parseClass(fields, into);
    case key_kind::customers: {
        const customer_id id(fields.id("id"));
        into.customers[id] = { id };
        return;
    }
    case key_kind::models:
        into.models.insert(model_id(fields.id("id")));
        return;
    case key_kind::data_centres:
        return parseDataCentre(fields, into);
    case key_kind::instances:
        return parseInstance(fields, into);
    case key_kind::weight_store:
        into.weightStoreBytesPerSecond = fields.bytes("bytes_per_second", leastBytesPerSecond, mostBytesPerSecond);
        return;
    case key_kind::backend_servers:
        return parseBackendServer(key, fields, into, problems);
    }
}

} // namespace

void parseElement(
    const config_key &key, const std::string &id, const boost::json::object &object, configuration &into, problem_list &problems)
{
    field_reader fields(object, key.text, id, problems);
    parseFields(key, fields, into, problems);
    fields.finish();
}

void removeElement(const config_key &key, const std::string &id, configuration &from)
{
    switch (key.kind) {
    case key_kind::classes:
        from.classes.erase(class_id(id));
        return;
    case key_kind::customers:
        from.customers.erase(customer_id(id));
        return;
    case key_kind::models:
        from.models.erase(model_id(id));
        return;
    case key_kind::data_centres:
        from.dataCentres.erase(data_centre_id(id));
        return;
    case key_kind::instances:
        from.instancesOutOfService.erase(instance_id(id));
        return;
    case key_kind::weight_store:
        from.weightStoreBytesPerSecond = 0;
        return;
    case key_kind::backend_servers:
        from.backendServers.erase(backend_server_id(id));
        return;
    }
}

} // namespace mustardtrail::config
