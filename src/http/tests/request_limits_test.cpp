// Requests beyond the operator's limits were read and served, and a refusal was lost to a caller that sent on.

#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <mutex>

using namespace mustardtrail;
using namespace mustardtrail::http;
using http::testing::http_harness;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;

namespace
{

constexpr size_t headerLimit = 2'000;
constexpr size_t bodyLimit = 100;

asio::awaitable<void> respondOk(exchange &incoming)
{
    co_await incoming.respond(makeResponse(200, "served", "text/plain"));
}

std::string statusOf(const std::string &answer)
{
    return answer.substr(0, std::min<size_t>(12, answer.size()));
}

server_limits smallLimits()
{
    server_limits limits;
    limits.headerBytes = headerLimit;
    limits.bodyBytes = bodyLimit;
    return limits;
}

std::string headOf(size_t bytes)
{
    const std::string begin = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Fill: ";
    const std::string end = "\r\n\r\n";
    return begin + std::string(bytes - begin.size() - end.size(), 'x') + end;
}

std::string chunked(const std::string &chunks)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

std::string answerTo(const std::string &request)
{
    http_harness harness(smallLimits(), respondOk);
    return statusOf(harness.raw(request, false));
}

std::string repeated(const std::string &text, size_t times)
{
    std::string all;
    for (size_t each = 0; each < times; ++each) {
        all += text;
    }
    return all;
}

} // namespace

Test(request_limits, aHeadAtItsLimitIsServedAndOneByteMoreIsRefused)
{
    expectEqual(answerTo(headOf(headerLimit)), "HTTP/1.1 200");
    expectEqual(answerTo(headOf(headerLimit + 1)), "HTTP/1.1 431");
}

// The parser counts anew for each part that it has taken.
Test(request_limits, aHeadOfManyFieldsIsRefusedAsAWhole)
{
    const std::string begin = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    expectEqual(answerTo(begin + repeated("X-Fill: 123456789\r\n", 120) + "\r\n"), "HTTP/1.1 431");
    expectEqual(answerTo(begin + repeated("X-Fill: 123456789\r\n", 20) + "\r\n"), "HTTP/1.1 200");
}

Test(request_limits, aHeadWithoutEndIsRefusedBeforeItsEnd)
{
    expectEqual(answerTo("GET /" + std::string(headerLimit, 'x')), "HTTP/1.1 431");
}

Test(request_limits, aBodyAtItsLimitIsServedAndAnAnnouncedByteMoreIsRefused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ";
    expectEqual(answerTo(head + "100\r\n\r\n" + std::string(bodyLimit, 'x')), "HTTP/1.1 200");
    expectEqual(answerTo(head + "101\r\n\r\n"), "HTTP/1.1 413");
}

Test(request_limits, chunksAreRefusedAtTheFirstByteBeyond)
{
    const std::string fifty = "32\r\n" + std::string(50, 'x') + "\r\n";
    expectEqual(answerTo(chunked(fifty + fifty + "0\r\n\r\n")), "HTTP/1.1 200");
    expectEqual(answerTo(chunked(fifty + fifty + "1\r\n")), "HTTP/1.1 413");
}

// A caller that sends each byte as a chunk of its own stays within the limit.
Test(request_limits, theFramingOfSmallChunksDoesNotCount)
{
    expectEqual(answerTo(chunked(repeated("1\r\nx\r\n", bodyLimit) + "0\r\n\r\n")), "HTTP/1.1 200");
}

Test(request_limits, chunkExtensionsAndTrailersCount)
{
    const std::string extended = "32;a=" + std::string(60, 'b') + "\r\n" + std::string(50, 'x') + "\r\n";
    expectEqual(answerTo(chunked(extended + "0\r\n\r\n")), "HTTP/1.1 413");
    const std::string fifty = "32\r\n" + std::string(50, 'x') + "\r\n";
    expectEqual(answerTo(chunked(fifty + "0\r\nX-Trailer: " + std::string(60, 'y') + "\r\n\r\n")), "HTTP/1.1 413");
}

Test(request_limits, aChunkOfImpossibleSizeIsRefused)
{
    expectEqual(answerTo(chunked("ffffffffffffffff\r\n")), "HTTP/1.1 413");
    expectEqual(answerTo(chunked("1\r\nx\r\nffffffffffffffff\r\n")), "HTTP/1.1 413");
}

// The parser throws for a field of 64 KiB, in the event loop.
Test(request_limits, aTrailerThatIsTooLongForTheParserIsRefused)
{
    server_limits limits;
    limits.headerBytes = 64 * 1024;
    http_harness harness(limits, respondOk);
    const std::string trailer = "0\r\nX-Trailer: " + std::string(70'000, 'y') + "\r\n\r\n";
    expectEqual(statusOf(harness.raw(chunked(trailer), false)), "HTTP/1.1 400");
    expectEqual(statusOf(harness.raw(headOf(headerLimit), false)), "HTTP/1.1 200");
}

Test(request_limits, aHeadOfOneFieldThatFillsTheBufferIsRefused)
{
    server_limits limits;
    limits.headerBytes = 64 * 1024;
    http_harness harness(limits, respondOk);
    expectEqual(statusOf(harness.raw(headOf(64 * 1024), false)), "HTTP/1.1 200");
    expectEqual(statusOf(harness.raw(headOf(64 * 1024 + 1), false)), "HTTP/1.1 431");
    expectEqual(statusOf(harness.raw(headOf(80'000), false)), "HTTP/1.1 431");
}

// It reads only when it has sent everything, and a reset would have destroyed the answer by then.
Test(request_limits, aCallerThatSendsItsWholeBodyFirstGetsTheRefusal)
{
    http_harness harness(smallLimits(), respondOk);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(harness.address().address), harness.address().port });
    const std::string piece(100'000, 'x');
    asio::write(socket, asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"));
    for (int pieces = 0; pieces < 10; ++pieces) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        asio::write(socket, asio::buffer(piece));
    }
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    expectEqual(statusOf(answer), "HTTP/1.1 413");
    cr_assert(answer.find("Connection: close") != std::string::npos);
    expectEqual(end.message(), make_error_code(asio::error::eof).message());
}
