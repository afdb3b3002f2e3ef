#include "programs/entry/caller_writer.h"

#include "host/log.h"
#include "http/status.h"
#include "programs/entry/caller_error.h"
#include "programs/entry/service_head.h"

#include <boost/asio/post.hpp>

namespace mustardtrail::entry
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

http::header_list eventHeaders(const request_id &request)
{
    http::header_list headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-cache");
    headers.add("Mustardtrail-Request", request.str());
    return headers;
}

} // namespace

caller_writer::caller_writer(entry_host &host, entry_metrics &metrics)
    : m_host(host)
    , m_metrics(metrics)
{
}

asio::awaitable<void> caller_writer::writeCompletion(http::exchange &exchange, running_answer &answer)
{
    while (true) {
        const caller_event event = co_await answer.channel->next();
        if (const auto *piece = std::get_if<request::relay_output>(&event)) {
            if (!co_await relay(exchange, answer, *piece)) {
                asio::post(m_host.strand(), [this, id = answer.request.id] {
                    m_host.callerGone(id);
                });
                co_return;
            }
        } else if (const auto *end = std::get_if<request::complete_request>(&event)) {
            co_await finish(exchange, answer, end->finishReason);
            co_return;
        } else {
            co_await refuse(exchange, answer, std::get<request::fail_request>(event).failure);
            co_return;
        }
    }
}

asio::awaitable<bool> caller_writer::relay(http::exchange &exchange, running_answer &answer, const request::relay_output &piece)
{
    if (!answer.sawOutput) {
        answer.sawOutput = true;
        m_metrics.firstToken(
            answer.request.promptTokens, knownClass(answer.request.workClass), answer.longAlongside, m_host.clock().now() - answer.arrival);
    }
    answer.newTokens += piece.tokens;
    if (!answer.stream) {
        answer.text += piece.text;
        co_return true;
    }
    // One await in each statement: g++ 12 destroys temporaries of a conditional await twice.
    if (!exchange.hasStarted()) {
        http::header_list headers = eventHeaders(answer.request.id);
        const bool isStarted = co_await exchange.startStream(200, std::move(headers));
        if (!isStarted) {
            co_return false;
        }
    }
    const std::string event = api::answerEvent(answer.head, piece.text, "");
    co_return co_await exchange.write(event);
}

asio::awaitable<void> caller_writer::finish(http::exchange &exchange, running_answer &answer, const std::string &reason)
{
    logEnd(answer, nullptr);
    const std::string &finishReason = reason.empty() ? "stop" : reason;
    if (!answer.stream) {
        http::response_message message;
        message.headers.add("Content-Type", "application/json");
        message.headers.add("Mustardtrail-Request", answer.request.id.str());
        message.headers.add("Mustardtrail-Verdict", std::string(toString(verdict::ran)));
        message.body = api::wholeAnswer(answer.head, answer.text, finishReason, answer.request.promptTokens, answer.newTokens);
        co_await exchange.respond(std::move(message));
        co_return;
    }
    if (!exchange.hasStarted()) {
        co_await exchange.startStream(200, eventHeaders(answer.request.id));
    }
    std::string tail = api::answerEvent(answer.head, "", finishReason);
    if (answer.includeUsage) {
        tail += api::usageEvent(answer.head, answer.request.promptTokens, answer.newTokens);
    }
    tail += api::doneEvent();
    co_await exchange.write(tail);
    co_await exchange.finishStream();
}

// A stream that has begun cannot change its status: the error is its last event, and no end mark follows.
asio::awaitable<void> caller_writer::refuse(http::exchange &exchange, running_answer &answer, const error &failure)
{
    logEnd(answer, &failure);
    if (!exchange.hasStarted()) {
        co_await exchange.respond(errorAnswer(answer.request.id, failure));
        co_return;
    }
    const std::string event = "data: " + api::errorBody(failure, messageOf(failure)) + "\n\n";
    co_await exchange.write(event);
    co_await exchange.finishStream();
}

asio::awaitable<void> caller_writer::writeService(http::exchange &exchange, running_answer &answer)
{
    http::response_message message;
    while (true) {
        const caller_event event = co_await answer.channel->next();
        if (const auto *piece = std::get_if<request::relay_output>(&event)) {
            if (!answer.sawOutput) {
                answer.sawOutput = true;
                message = serviceHeadFrom(piece->text);
            } else {
                message.body += piece->text;
            }
        } else if (std::holds_alternative<request::complete_request>(event)) {
            logEnd(answer, nullptr);
            message.headers.add("Mustardtrail-Verdict", std::string(toString(verdict::ran)));
            message.headers.add("Mustardtrail-Request", answer.request.id.str());
            co_await exchange.respond(std::move(message));
            co_return;
        } else {
            co_await refuse(exchange, answer, std::get<request::fail_request>(event).failure);
            co_return;
        }
    }
}

std::string caller_writer::knownClass(const class_id &workClass) const
{
    const auto view = m_host.view();
    return view->config && view->config->classes.contains(workClass) ? workClass.str() : "-";
}

void caller_writer::logEnd(const running_answer &answer, const error *failure) const
{
    const std::string workClass = knownClass(answer.request.workClass);
    const auto took
        = answer.request.id.empty() ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(m_host.clock().now() - answer.arrival);
    log_line line(failure == nullptr ? "request_finished" : "request_failed");
    line.add("request", answer.request.id.str()).add("customer", answer.request.customer.str()).add("class", workClass);
    line.add("prompt_tokens", answer.request.promptTokens).add("new_tokens", answer.newTokens);
    if (failure == nullptr) {
        line.add("took", took);
        m_metrics.finished(workClass, m_host.settings().dataCentre.str(), took);
    } else {
        line.add("code", toString(failure->code)).add("verdict", toString(failure->outcome)).add("detail", failure->detail);
        m_metrics.failed(workClass, m_host.settings().dataCentre.str(), *failure);
    }
    host::log(failure == nullptr ? host::log_level::info : host::log_level::warning, line);
}

} // namespace mustardtrail::entry
