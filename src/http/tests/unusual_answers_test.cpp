#include "http/client.h"
#include "http/tests/raw_server.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::http::testing::raw_connection;
using mustardtrail::http::testing::raw_server;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t endless = 64 * megabyte;
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Criterion runs each test in its own process, so these values start anew in each test.
size_t sentBytes = 0;
int connections = 0;

/// Answer of a server that serves each connection with this script.
result<response_message> answerOf(raw_server::script serve, call_limits limits = call_limits::within(milliseconds(3'000)))
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), std::move(serve));
    client caller(context.get_executor());
    std::optional<result<response_message>> answer;
    boost::asio::co_spawn(context,
        caller.call(server.address(), request_message(), std::move(limits)),
        [&](std::exception_ptr, result<response_message> got) {
            answer = std::move(got);
            context.stop();
        });
    context.run();
    return *answer;
}

std::string bodyOrError(const result<response_message> &answer)
{
    return answer ? answer->body : toString(answer.error().code);
}

boost::asio::awaitable<void> interimThenAnswer(raw_connection &connection)
{
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    co_await connection.send(interim + hints + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

boost::asio::awaitable<void> interimForASecond(raw_connection &connection)
{
    for (int count = 0; count < 10; ++count) {
        co_await connection.send(interim);
        co_await connection.pause(milliseconds(100));
    }
    co_await connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

boost::asio::awaitable<void> manyInterim(raw_connection &connection)
{
    std::string all;
    for (int count = 0; count < 1'000; ++count) {
        all += interim;
    }
    co_await connection.send(all + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

boost::asio::awaitable<void> endlessHead(raw_connection &connection)
{
    co_await connection.send("HTTP/1.1 200 OK\r\n");
    co_await connection.sendUpTo(endless, "X-More: more\r\n");
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> endlessChunkExtension(raw_connection &connection)
{
    co_await connection.send(chunkedHead + "2\r\nok\r\n2");
    co_await connection.sendUpTo(endless, ";" + std::string(16 * 1024, 'x'));
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> endlessTrailers(raw_connection &connection)
{
    co_await connection.send(chunkedHead + "2\r\nok\r\n0\r\n");
    co_await connection.sendUpTo(endless, "X-More: " + std::string(16 * 1024, 'x') + "\r\n");
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> endlessChunkSize(raw_connection &connection)
{
    co_await connection.send(chunkedHead + "2\r\nok\r\n");
    co_await connection.sendUpTo(endless, std::string(16 * 1024, '0'));
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> endlessBody(raw_connection &connection)
{
    co_await connection.send(unframedHead);
    co_await connection.sendUpTo(endless, std::string(16 * 1024, 'x'));
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> unframedAnswer(raw_connection &connection)
{
    co_await connection.send(unframedHead + "whole");
}

boost::asio::awaitable<void> unframedReset(raw_connection &connection)
{
    co_await connection.send(unframedHead + "half");
    co_await connection.pause(milliseconds(50));
    connection.reset();
}

boost::asio::awaitable<void> noAnswer(raw_connection &connection)
{
    co_await connection.send("SSH-2.0-OpenSSH_9.2\r\n\r\n");
    co_await connection.waitUntilClosed();
}

boost::asio::awaitable<void> switchProtocols(raw_connection &connection)
{
    ++connections;
    co_await connection.send("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n");
    co_await connection.waitUntilClosed();
}

boost::asio::awaitable<void> callTwice(client &caller, endpoint to, std::vector<result<response_message>> &answers)
{
    for (int count = 0; count < 2; ++count) {
        request_message message;
        auto limits = call_limits::within(milliseconds(500));
        auto answer = co_await caller.call(to, std::move(message), std::move(limits));
        answers.push_back(std::move(answer));
    }
}

boost::asio::awaitable<void> sendAndWait(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
    co_await connection.waitUntilClosed();
}

boost::asio::awaitable<void> sendAndClose(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
}

boost::asio::awaitable<void> sendInTwoParts(raw_connection &connection, std::string first, std::string second)
{
    co_await connection.send(std::move(first));
    co_await connection.pause(milliseconds(2));
    co_await connection.send(std::move(second));
}

raw_server::script dividedAt(size_t at, std::string bytes)
{
    return [at, bytes = std::move(bytes)](raw_connection &connection) {
        return sendInTwoParts(connection, bytes.substr(0, at), bytes.substr(at));
    };
}

raw_server::script stayOpenAfter(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) {
        return sendAndWait(connection, bytes);
    };
}

raw_server::script closeAfter(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) {
        return sendAndClose(connection, bytes);
    };
}

/// Blank and control bytes.
std::vector<char> bytesThatNoNameHolds()
{
    constexpr char deleteByte = 0x7f;
    std::vector<char> all{ deleteByte };
    for (char byte = 0; byte <= ' '; ++byte) {
        all.push_back(byte);
    }
    return all;
}

/// The byte at the start, in the middle and at the end of the name of this field.
std::vector<std::string> fieldsWith(char byte, const std::string &name, const std::string &value)
{
    std::vector<std::string> fields;
    for (const size_t at : { size_t{ 0 }, name.size() / 2, name.size() }) {
        fields.push_back(name.substr(0, at) + byte + name.substr(at) + ": " + value + "\r\n");
    }
    return fields;
}

/// Expects that an answer whose head holds this field, in any place, is none.
void expectNoAnswerWith(const std::string &field)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string body = "\r\n2\r\nok\r\n0\r\n\r\n"; // In chunks, for a head that says so.
    const std::string invalid(toString(error_code::backend_answer_invalid));
    for (const std::string &head : { field, "X-Before: b\r\n" + field, field + "X-After: a\r\n", "X-Empty:\r\n" + field }) {
        expectEqual(bodyOrError(answerOf(closeAfter(status + head + body))), invalid);
    }
    expectEqual(bodyOrError(answerOf(closeAfter("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + field + "\r\n" + status + body))), invalid);
}

boost::asio::awaitable<void> closeWithoutAnswer(raw_connection &)
{
    co_return;
}

boost::asio::awaitable<void> closeInHead(raw_connection &connection)
{
    co_await connection.send("HTTP/1.1 200 OK\r\nContent-");
}

} // namespace

Test(unusual_answers, interimHeadsComeBeforeAnAnswer)
{
    expectEqual(bodyOrError(answerOf(interimThenAnswer)), "ok");
}

Test(unusual_answers, interimHeadsDoNotExtendTheTimeForTheHead)
{
    expectEqual(bodyOrError(answerOf(interimForASecond, call_limits::within(milliseconds(400)))), toString(error_code::backend_timeout));
}

Test(unusual_answers, interimHeadsWithoutEndAreNoAnswer)
{
    expectEqual(bodyOrError(answerOf(manyInterim)), toString(error_code::backend_answer_invalid));
}

Test(unusual_answers, aHeadWithoutEndIsNoAnswer)
{
    expectEqual(bodyOrError(answerOf(endlessHead)), toString(error_code::backend_answer_invalid));
    cr_assert(sentBytes < endless);
}

Test(unusual_answers, aChunkExtensionWithoutEndIsNoAnswer)
{
    expectEqual(bodyOrError(answerOf(endlessChunkExtension)), toString(error_code::backend_answer_invalid));
    cr_assert(sentBytes < endless);
}

Test(unusual_answers, trailersWithoutEndAreNoAnswer)
{
    expectEqual(bodyOrError(answerOf(endlessTrailers)), toString(error_code::backend_answer_invalid));
    cr_assert(sentBytes < endless);
}

Test(unusual_answers, aChunkSizeWithoutEndIsNoAnswer)
{
    expectEqual(bodyOrError(answerOf(endlessChunkSize)), toString(error_code::backend_answer_invalid));
    cr_assert(sentBytes < endless);
}

Test(unusual_answers, aBodyWithoutEndIsTooLarge)
{
    expectEqual(bodyOrError(answerOf(endlessBody)), toString(error_code::backend_answer_invalid));
    cr_assert(sentBytes < endless);
}

Test(unusual_answers, anUnframedAnswerIsCompleteWhenItsConnectionIsClosedInOrder)
{
    expectEqual(bodyOrError(answerOf(unframedAnswer)), "whole");
}

Test(unusual_answers, anUnframedAnswerIsNotCompleteWhenItsConnectionIsReset)
{
    expectEqual(bodyOrError(answerOf(unframedReset)), toString(error_code::backend_connection_lost));
}

// Below 100 there is no status. Waiting for another head after such a one would take the caller's whole time.
Test(unusual_answers, aStatusBelowThoseOfInterimHeadsIsNoAnswer)
{
    const std::string invalid(toString(error_code::backend_answer_invalid));
    for (const std::string_view status : { "000", "001", "042", "099" }) {
        const std::string line = "HTTP/1.1 " + std::string(status) + " Trouble\r\n";
        for (const std::string_view rest : { "Content-Length: 5\r\n\r\nhello", "Content-Length: 0\r\n\r\n", "\r\n" }) {
            expectEqual(bodyOrError(answerOf(stayOpenAfter(line + std::string(rest)), call_limits::within(milliseconds(400)))), invalid);
            expectEqual(bodyOrError(answerOf(closeAfter(line + std::string(rest)))), invalid);
        }
    }
}

Test(unusual_answers, anAnswerBehindAStatusBelowThoseOfInterimHeadsIsNone)
{
    const std::string bytes = "HTTP/1.1 000 Trouble\r\n\r\n" + unframedHead + "of another answer";
    expectEqual(bodyOrError(answerOf(closeAfter(bytes))), toString(error_code::backend_answer_invalid));
}

Test(unusual_answers, aStatusThatIsNotThreeDigitsIsNoAnswer)
{
    for (const std::string_view status : { "0", "00", "20", "2000", "-01", "2 0", "" }) {
        const std::string bytes = "HTTP/1.1 " + std::string(status) + " Trouble\r\nContent-Length: 5\r\n\r\nhello";
        expectEqual(bodyOrError(answerOf(closeAfter(bytes))), toString(error_code::backend_answer_invalid));
    }
}

Test(unusual_answers, aFieldWhoseNameHoldsABlankOrAControlByteMakesNoAnswer)
{
    for (const char byte : bytesThatNoNameHolds()) {
        for (const std::string &field : fieldsWith(byte, "Transfer-Encoding", "chunked")) {
            expectNoAnswerWith(field);
        }
        for (const std::string &field : fieldsWith(byte, "X-Trouble", "v")) {
            expectNoAnswerWith(field);
        }
    }
}

Test(unusual_answers, aFoldedLineMakesNoAnswerWhereverItsHeadIsDivided)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-Before: b\r\n Content-Length: 2\r\n\r\nok";
    for (size_t at = 1; at < bytes.size(); ++at) {
        expectEqual(bodyOrError(answerOf(dividedAt(at, bytes))), toString(error_code::backend_answer_invalid));
    }
}

Test(unusual_answers, aBodyMayBeginWithABlankWhereverTheAnswerIsDivided)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n \r\n ok\r\n\t";
    for (size_t at = 1; at < bytes.size(); ++at) {
        expectEqual(bodyOrError(answerOf(dividedAt(at, bytes))), " \r\n ok\r\n\t");
    }
}

Test(unusual_answers, aFieldWithoutANameMakesNoAnswer)
{
    expectNoAnswerWith(": v\r\n");
}

Test(unusual_answers, bytesOfAnotherProtocolAreNoAnswer)
{
    expectEqual(bodyOrError(answerOf(noAnswer)), toString(error_code::backend_answer_invalid));
}

Test(unusual_answers, aConnectionThatEndsBeforeTheHeadIsLost)
{
    expectEqual(bodyOrError(answerOf(closeWithoutAnswer)), toString(error_code::backend_connection_lost));
    expectEqual(bodyOrError(answerOf(closeInHead)), toString(error_code::backend_connection_lost));
}

Test(unusual_answers, aConnectionWhoseServerHasSwitchedTheProtocolIsNotUsedAgain)
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), switchProtocols);
    client caller(context.get_executor());
    std::vector<result<response_message>> answers;
    boost::asio::co_spawn(context, callTwice(caller, server.address(), answers), [&](std::exception_ptr) {
        context.stop();
    });
    context.run();
    expectEqual(connections, 2);
    expectEqual(bodyOrError(answers.at(0)), toString(error_code::backend_answer_invalid));
    expectEqual(bodyOrError(answers.at(1)), toString(error_code::backend_answer_invalid));
}
