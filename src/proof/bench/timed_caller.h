#pragma once

#include "proof/fleet/blocking_caller.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

namespace mustardtrail::proof
{

/// Answer with its times at full resolution.
struct timed_answer {
    caller_answer answer;
    std::chrono::nanoseconds firstToken{ 0 }; ///< Zero when no token came.
    std::chrono::nanoseconds took{ 0 };
};

/// Streamed completion of testPrompt(promptBytes).
http::request_message completionRequest(const std::string &workClass, size_t promptBytes, int maxTokens);

/// Sends one request over kept-alive connections and reads the whole answer.
boost::asio::awaitable<timed_answer> callTimed(http::client &client, endpoint to, http::request_message message);

/// True for a whole streamed answer of the stand-in engines to testPrompt(promptBytes).
bool isRight(const caller_answer &answer, const std::string &expected);

/// Sends one request after another from the calling thread.
class timed_caller
{
public:
    timed_caller();
    timed_answer call(const endpoint &to, http::request_message message);

private:
    boost::asio::io_context m_context;
    http::client m_client;
};

} // namespace mustardtrail::proof
