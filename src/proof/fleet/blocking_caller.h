#pragma once

#include "base/endpoint.h"
#include "http/client.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace mustardtrail::proof
{

/// Answer to a caller's request with the time to its first byte of body and the raw events of a stream.
struct caller_answer {
    int status = 0; ///< 0: no answer; see failure.
    http::header_list headers;
    std::string body;
    error failure;
    bool isWhole = false; ///< The answer ended as announced.
    std::chrono::milliseconds firstToken{ 0 };
    std::chrono::milliseconds took{ 0 };
};

/// Sends one request and waits for the whole answer. `fresh` connections only; safe from several threads.
caller_answer callAndWait(const endpoint &to, http::request_message message, std::chrono::milliseconds limit);

/// POST of a JSON body without caller's headers, for control ports.
boost::json::object control(const endpoint &to, const std::string &body);
boost::json::object getJson(const endpoint &to, const std::string &target);

/// Texts of the pieces of a streamed or whole completion, joined.
std::string answerText(const caller_answer &answer);

} // namespace mustardtrail::proof
