#pragma once

#include "http/exchange.h"
#include "programs/entry/entry_host.h"

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
    struct running_answer;

    boost::asio::awaitable<void> serveCompletion(http::exchange &exchange, api::completion_kind kind);
    boost::asio::awaitable<void> serveService(http::exchange &exchange);
    boost::asio::awaitable<void> serveModels(http::exchange &exchange);
    boost::asio::awaitable<void> writeCompletion(http::exchange &exchange, running_answer &answer);
    boost::asio::awaitable<void> writeService(http::exchange &exchange, running_answer &answer);
    boost::asio::awaitable<bool> relay(http::exchange &exchange, running_answer &answer, const request::relay_output &piece);
    boost::asio::awaitable<void> finish(http::exchange &exchange, running_answer &answer, const std::string &reason);
    boost::asio::awaitable<void> refuse(http::exchange &exchange, running_answer &answer, const error &failure);

    result<request::caller_request> readHead(const http::request_message &message);
    void start(http::exchange &exchange, running_answer &answer, std::shared_ptr<const payload> content);
    std::string knownClass(const class_id &workClass) const;
    http::response_message errorAnswer(const running_answer &answer, const error &failure) const;
    void logEnd(const running_answer &answer, const error *failure) const;

    entry_host &m_host;
    entry_metrics &m_metrics;
    std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_nextRequest{ 1 };
    std::atomic<int> m_longRunning{ 0 }; ///< Long prompts between their start and their end here.
};

/// Answer to a request that could not be read, in the callers' error shape.
http::response_message badRequestAnswer(int status, int code, std::string_view detail);

} // namespace mustardtrail::entry
