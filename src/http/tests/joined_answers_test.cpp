// Parts of two answers on one connection: what the client takes for an answer is one for a strict reader as well.

#include "http/client.h"
#include "http/tests/raw_server.h"
#include "http/tests/strict_reader.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::http::testing::raw_connection;
using mustardtrail::http::testing::raw_server;
using mustardtrail::http::testing::readStrictly;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string first = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n";
const std::string served = "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n";

const std::vector<std::string> wholeAnswers{
    served,
    refusal,
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + served,
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2;n=v;q=\"w x\"\r\nok\r\n0;last\r\nX-End: a b\r\n\r\n",
    "HTTP/1.0 200 OK\r\nAttempt-Id:a1\t\r\nResponse-Stamp: s\r\n\r\nuntil the end",
    "HTTP/1.1 500 \r\nX-Empty:\r\nContent-Length: 12\r\n\r\nHTTP/1.1 200",
    "HTTP/1.1 200 OK\r\nContent-Length: 63\r\n\r\nHTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\nmore of it.",
    "HTTP/1.1 204 None\r\nAttempt-Id: a1\r\n\r\n",
};

std::string textOf(int status, const std::string &body)
{
    return std::to_string(status) + " " + body;
}

/// What is got by a caller whose request is the second one of its connection, when the server sends these bytes and closes.
boost::asio::awaitable<std::optional<response_message>> answerOf(client &caller, endpoint to, std::string &script, std::string bytes)
{
    const auto limits = call_limits::within(milliseconds(3'000));
    script = std::move(bytes);
    request_message message;
    const auto opening = co_await caller.call(to, message, limits);
    cr_assert(opening.has_value());
    auto answer = co_await caller.call(to, message, limits);
    caller.closeIdle(to);
    co_return answer ? std::optional(std::move(*answer)) : std::nullopt;
}

/// Returns how many of the byte strings are an answer for the client.
boost::asio::awaitable<int> compare(client &caller, endpoint to, std::string &script, std::vector<std::string> all)
{
    int taken = 0;
    for (const std::string &bytes : all) {
        const auto answer = co_await answerOf(caller, to, script, bytes);
        if (!answer) {
            continue;
        }
        ++taken;
        const auto strict = readStrictly(bytes);
        cr_assert(strict.has_value(), "only the client takes: %s", bytes.c_str());
        if (strict) {
            expectEqual(textOf(answer->status, answer->body), textOf(strict->status, strict->body));
            expectEqual(answer->headers.fields().size(), strict->fields.size());
        }
    }
    co_return taken;
}

int takenOf(std::vector<std::string> all)
{
    boost::asio::io_context context;
    std::string script;
    const raw_server server(context.get_executor(), [&script](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send(first);
        if (co_await connection.readRequest()) {
            co_await connection.send(script);
        }
    });
    client caller(context.get_executor());
    int taken = 0;
    boost::asio::co_spawn(context, compare(caller, server.address(), script, std::move(all)), [&](std::exception_ptr thrown, int count) {
        cr_assert(!thrown);
        taken = count;
        context.stop();
    });
    context.run();
    return taken;
}

/// Each beginning and each end of one answer, before the other answer.
std::vector<std::string> joined(const std::string &cut, const std::string &whole)
{
    std::vector<std::string> all;
    for (size_t at = 0; at <= cut.size(); ++at) {
        all.push_back(cut.substr(0, at) + whole);
        all.push_back(cut.substr(at) + whole);
    }
    return all;
}

std::string headWith(const std::string &lines)
{
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
}

} // namespace

Test(joined_answers, areTakenOnlyIfAStrictReaderTakesThem)
{
    std::vector<std::string> all;
    for (const std::string &cut : wholeAnswers) {
        for (const std::string &whole : wholeAnswers) {
            const auto some = joined(cut, whole);
            all.insert(all.end(), some.begin(), some.end());
        }
    }
    cr_assert(takenOf(std::move(all)) > static_cast<int>(wholeAnswers.size() * wholeAnswers.size()));
}

Test(joined_answers, thatAreWholeAreTaken)
{
    expectEqual(takenOf(wholeAnswers), static_cast<int>(wholeAnswers.size()));
}

Test(damaged_heads, areTakenOnlyIfAStrictReaderTakesThem)
{
    std::vector<std::string> all;
    for (const std::string lines : { "Content-Length: 2\r\nContent-Length: 3",
             "Content-Length: 2, 3",
             "Content-Length: +2",
             "Content-Length: 2\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: chunked\r\nContent-Length: 2",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
             "Attempt-Id : a1\r\nContent-Length: 2",
             "Attempt-Id: a\r1\r\nContent-Length: 2",
             "Attempt-Id: a1\nNot-Run: 1\r\nContent-Length: 2",
             "Attempt-Id: a1\r\rContent-Length: 2",
             "Attempt-Id\r\nContent-Length: 2",
             ": a1\r\nContent-Length: 2",
             "Attempt-Id: a1 HTTP/1.1 200 OK\r\nContent-Length: 2" }) {
        all.push_back(headWith(lines));
    }
    expectEqual(takenOf(std::move(all)), 0);
}

// The body would reach the caller as it is coded, without the field that says so.
Test(damaged_heads, areNotTakenWithACodingThatIsNotKnown)
{
    std::vector<std::string> all;
    for (const std::string lines : { "Transfer-Encoding: chunke",
             "Transfer-Encoding: gzip",
             "Transfer-Encoding:",
             "Transfer-Encoding: gzip, chunked",
             "Transfer-Encoding: gzip\r\nContent-Length: 2",
             "Content-Length: 2\r\nTransfer-Encoding: gzip",
             "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" }) {
        all.push_back(headWith(lines));
    }
    expectEqual(takenOf(std::move(all)), 0);
}

Test(damaged_heads, areNotTakenWithDamagedChunks)
{
    std::vector<std::string> all;
    for (const std::string chunks : { "2;HTTP/1.1 200 OK\r\nok\r\n0\r\n\r\n",
             "2;a=HTTP/1.1 200 OK\r\nok\r\n0\r\n\r\n",
             "2 \r\nok\r\n0\r\n\r\n",
             "2\nok\r\n0\r\n\r\n",
             "2\r\nokHT\r\n0\r\n\r\n",
             "0\r\nHTTP/1.1 200 OK\r\n\r\n",
             "0\r\nX: HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
        all.push_back("HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    }
    expectEqual(takenOf(std::move(all)), 0);
}
