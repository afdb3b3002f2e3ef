#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <stdexcept>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;

namespace
{

const std::string request = "GET / HTTP/1.1\r\n\r\n";

boost::asio::awaitable<void> respondWithinAStream(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("half");
    response_message failure{ 502, {}, "failure" };
    co_await incoming.respond(std::move(failure));
}

boost::asio::awaitable<void> startAStreamWithinAStream(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("half");
    co_await incoming.startStream(200, header_list());
    co_await incoming.finishStream();
}

boost::asio::awaitable<void> writeBehindAResponse(exchange &incoming)
{
    response_message whole{ 200, {}, "whole" };
    co_await incoming.respond(std::move(whole));
    co_await incoming.write("more");
}

boost::asio::awaitable<void> writeNothingWithinAStream(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("half");
    co_await incoming.write("");
}

boost::asio::awaitable<void> failAfterTheHead(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    throw std::runtime_error("failure");
}

boost::asio::awaitable<void> respondAfterAnImproperResponse(exchange &incoming)
{
    response_message improper{ 204, {}, "a body where none may be" };
    bool isThrown = false;
    try {
        co_await incoming.respond(std::move(improper));
    } catch (const std::exception &) {
        isThrown = true;
    }
    const bool mayRespond = isThrown && !incoming.hasStarted();
    response_message failure{ 502, {}, mayRespond ? "failure" : "too late" };
    co_await incoming.respond(std::move(failure));
}

/// What a caller receives behind the head.
std::string received(const handler &serve)
{
    http::testing::http_harness harness({}, serve);
    const std::string bytes = harness.raw(request);
    return bytes.substr(bytes.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against the head and text of a failure in the middle of a stream.
Test(begun_response, aStreamThatHasBegunTakesNoOtherResponse)
{
    expectEqual(received(respondWithinAStream), "4\r\nhalf\r\n");
    expectEqual(received(startAStreamWithinAStream), "4\r\nhalf\r\n");
}

Test(begun_response, nothingFollowsACompleteResponse)
{
    expectEqual(received(writeBehindAResponse), "whole");
}

// Guards against a broken stream that looks complete: a chunk without bytes is the last one.
Test(begun_response, writingNothingDoesNotEndAStream)
{
    expectEqual(received(writeNothingWithinAStream), "4\r\nhalf\r\n");
}

Test(begun_response, aStreamThatFailsBetweenItsHeadAndItsFirstChunkDoesNotLookComplete)
{
    expectEqual(received(failAfterTheHead), "");
}

// Guards against a caller without an answer: nothing of the improper one has been sent.
Test(begun_response, aResponseThatCannotBeBuiltLeavesRoomForAnother)
{
    expectEqual(received(respondAfterAnImproperResponse), "failure");
}
