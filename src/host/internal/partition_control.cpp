#include "host/partition_control.h"

#include "base/json_access.h"
#include "host/log.h"
#include "http/status.h"

#include <boost/asio/ip/address.hpp>

namespace mustardtrail::host
{

namespace
{

bool isLoopback(const endpoint &address)
{
    boost::system::error_code failure;
    const auto number = boost::asio::ip::make_address(address.address, failure);
    return !failure && number.is_loopback();
}

} // namespace

http::simulated_partitions simulatedPartitionsFrom(const settings::settings_values &values, const endpoint &listen)
{
    if (values.text("testing.allow_cuts") != "yes") {
        return http::simulated_partitions::forbidden;
    }
    const bool isAllowed = isLoopback(listen);
    log(log_level::warning, log_line(isAllowed ? "cuts_allowed" : "cuts_ignored").add("listen", toString(listen)));
    return isAllowed ? http::simulated_partitions::allowed : http::simulated_partitions::forbidden;
}

http::response_message applyPartition(http::client &client, const std::string &body)
{
    const boost::json::object message = json_access::objectFromText(body);
    const boost::json::array *list = json_access::arrayAt(message, "cut");
    std::set<endpoint> endpoints;
    for (const boost::json::value &value : list != nullptr ? *list : boost::json::array()) {
        const auto address = value.is_string() ? endpointFromString(std::string(value.get_string())) : std::nullopt;
        if (!address) {
            return http::makeResponse(http::statusBadRequest, "address_invalid\n", "text/plain");
        }
        endpoints.insert(*address);
    }
    if (list == nullptr) {
        return http::makeResponse(http::statusBadRequest, "cut_missing\n", "text/plain");
    }
    const size_t count = endpoints.size();
    if (!client.setPartitionedEndpoints(std::move(endpoints))) {
        return http::makeResponse(http::statusNotFound, "not_found\n", "text/plain");
    }
    log(log_level::warning, log_line("cut_off").add("endpoints", static_cast<std::int64_t>(count)));
    return http::makeResponse(http::statusOk, "{}\n", "application/json");
}

} // namespace mustardtrail::host
