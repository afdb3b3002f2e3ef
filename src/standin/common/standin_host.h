#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <string>

namespace mustardtrail::standin
{

/// Answer with a JSON body.
http::response_message jsonAnswer(int status, const boost::json::object &body);

/// JSON object in the body of a request; empty when there is none.
boost::json::object jsonBody(const http::request_message &request);

/// Answer to a request that could not be read.
http::response_message refusedRequest(int status, int code, std::string_view detail);

/// Runs the context until SIGTERM or SIGINT.
void runUntilSignal(boost::asio::io_context &context);

} // namespace mustardtrail::standin
