#include "proof/bench/closed_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mustardtrail::proof
{

namespace asio = boost::asio;

closed_loop::closed_loop(
    endpoint to, http::request_message message, std::string expected, int connections, std::chrono::milliseconds duration)
    : m_to(std::move(to))
    , m_message(std::move(message))
    , m_expected(std::move(expected))
    , m_connections(connections)
    , m_end(std::chrono::steady_clock::now() + duration)
    , m_thread([this] {
        run();
    })
{
}

closed_loop::~closed_loop()
{
    wait();
}

void closed_loop::wait()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

int closed_loop::finished() const
{
    return m_finished;
}

int closed_loop::failed() const
{
    return m_failed;
}

const std::string &closed_loop::firstFailure() const
{
    return m_firstFailure;
}

const samples &closed_loop::took() const
{
    return m_took;
}

std::chrono::steady_clock::time_point closed_loop::endedAt() const
{
    return m_endedAt;
}

asio::awaitable<void> closed_loop::runOne(http::client &client)
{
    while (std::chrono::steady_clock::now() < m_end) {
        const timed_answer timed = co_await callTimed(client, m_to, m_message);
        m_endedAt = std::chrono::steady_clock::now();
        if (isRight(timed.answer, m_expected)) {
            ++m_finished;
            m_took.add(timed.took);
            continue;
        }
        if (m_failed++ == 0) {
            m_firstFailure
                = std::to_string(timed.answer.status) + " " + timed.answer.failure.detail + " " + timed.answer.body.substr(0, 300);
        }
    }
}

void closed_loop::run()
{
    asio::io_context context(1);
    http::client client(context.get_executor());
    for (int index = 0; index < m_connections; ++index) {
        asio::co_spawn(context, runOne(client), asio::detached);
    }
    context.run();
}

} // namespace mustardtrail::proof
