#pragma once

#include "http/exchange.h"
#include "programs/entry/entry_host.h"
#include "programs/entry/running_answer.h"

namespace mustardtrail::entry
{

/// Writes answers to callers as their events come in, counts and logs their ends.
class caller_writer
{
public:
    caller_writer(entry_host &host, entry_metrics &metrics);

    boost::asio::awaitable<void> writeCompletion(http::exchange &exchange, running_answer &answer);
    boost::asio::awaitable<void> writeService(http::exchange &exchange, running_answer &answer);
    boost::asio::awaitable<void> refuse(http::exchange &exchange, running_answer &answer, const error &failure);

private:
    boost::asio::awaitable<bool> relay(http::exchange &exchange, running_answer &answer, const request::relay_output &piece);
    boost::asio::awaitable<void> finish(http::exchange &exchange, running_answer &answer, const std::string &reason);
    std::string knownClass(const class_id &workClass) const;
    void logEnd(const running_answer &answer, const error *failure) const;

    entry_host &m_host;
    entry_metrics &m_metrics;
};

} // namespace mustardtrail::entry
