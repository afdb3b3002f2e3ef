#pragma once

#include "http/exchange.h"
#include "programs/entry/caller_writer.h"

#include <atomic>

namespace mustardtrail::entry
{

/// Callers' HTTP interface: completions, models, plain services.
class caller_routes
{
public:
    caller_routes(entry_host &host, entry_metrics &metrics, std::uint64_t incarnation);

    boost::asio::awaitable<void> serve(http::exchange &exchange);

private:
    boost::asio::awaitable<void> serveCompletion(http::exchange &exchange, api::completion_kind kind);
    boost::asio::awaitable<void> serveService(http::exchange &exchange);
    boost::asio::awaitable<void> serveModels(http::exchange &exchange);

    result<request::caller_request> readHead(const http::request_message &message);
    void start(http::exchange &exchange, running_answer &answer, std::shared_ptr<const payload> content);

    entry_host &m_host;
    caller_writer m_writer;
    std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_nextRequest{ 1 };
    std::atomic<int> m_longRunning{ 0 }; ///< Long prompts between their start and their end here.
};

} // namespace mustardtrail::entry
