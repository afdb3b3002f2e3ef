#pragma once

#include "proof/bench/samples.h"
#include "proof/bench/timed_caller.h"

#include <atomic>
#include <thread>

namespace mustardtrail::proof
{

/// Keeps a number of streamed requests open at one address, on a thread of its own, until a time has passed.
class closed_loop
{
public:
    closed_loop(endpoint to, http::request_message message, std::string expected, int connections, std::chrono::milliseconds duration);
    ~closed_loop();

    /// Waits for the last answer.
    void wait();
    int finished() const;
    int failed() const;
    /// Status and start of the body of the first failure; after wait().
    const std::string &firstFailure() const;
    const samples &took() const;
    /// When the last request ended; after wait(). The thread itself lingers on idle connections.
    std::chrono::steady_clock::time_point endedAt() const;

private:
    boost::asio::awaitable<void> runOne(http::client &client);
    void run();

    endpoint m_to;
    http::request_message m_message;
    std::string m_expected;
    int m_connections;
    std::chrono::steady_clock::time_point m_end;
    std::atomic<int> m_finished{ 0 };
    std::atomic<int> m_failed{ 0 };
    std::string m_firstFailure;
    samples m_took;
    std::chrono::steady_clock::time_point m_endedAt;
    std::thread m_thread;
};

} // namespace mustardtrail::proof
