#include "standin/common/standin_host.h"

#include "base/json_access.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>

namespace mustardtrail::standin
{

http::response_message jsonAnswer(int status, const boost::json::object &body)
{
    return http::makeResponse(status, boost::json::serialize(body), "application/json");
}

boost::json::object jsonBody(const http::request_message &request)
{
    return request.body ? json_access::objectFromText(*request.body) : boost::json::object();
}

http::response_message refusedRequest(int status, int code, std::string_view detail)
{
    boost::json::object body;
    body["code"] = code;
    body["detail"] = boost::json::string_view(detail.data(), detail.size());
    return jsonAnswer(status, body);
}

void runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    context.run();
}

} // namespace mustardtrail::standin
