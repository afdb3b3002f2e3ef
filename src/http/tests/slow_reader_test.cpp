// A large answer was cut when its caller took longer than the progress limit to read all of it, though it made progress all the while.

#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

namespace asio = boost::asio;

constexpr size_t bodyBytes = 16 * 1024 * 1024; // More than the socket buffers hold.
constexpr size_t pieceBytes = 128 * 1024;
constexpr milliseconds progressLimit{ 1'000 };
constexpr milliseconds pause{ 20 }; // Far below the progress limit, which all pieces together exceed.

/// Reads the whole answer piece by piece, with a pause before each.
std::string readSlowly(const endpoint &from)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(pieceBytes)));
    socket.connect({ asio::ip::make_address(from.address), from.port });
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::string received;
    boost::system::error_code failure;
    while (!failure) {
        std::this_thread::sleep_for(pause);
        std::string piece(pieceBytes, '\0');
        const size_t count = asio::read(socket, asio::buffer(piece), asio::transfer_at_least(1), failure);
        received.append(piece, 0, count);
    }
    return received;
}

size_t bytesOfBody(handler handle)
{
    server_limits limits;
    limits.progress = progressLimit;
    const http::testing::http_harness harness(limits, std::move(handle));
    const std::string received = readSlowly(harness.address());
    return static_cast<size_t>(std::count(received.begin(), received.end(), '~'));
}

asio::awaitable<void> respondAtOnce(exchange &incoming)
{
    response_message message;
    message.status = 200;
    message.body = std::string(bodyBytes, '~');
    co_await incoming.respond(std::move(message));
}

asio::awaitable<void> writeOnePiece(exchange &incoming)
{
    const std::string piece(bodyBytes, '~');
    co_await incoming.startStream(200, header_list());
    co_await incoming.write(piece);
    co_await incoming.finishStream();
}

} // namespace

Test(slow_reader, getsAWholeAnswerThatMakesProgress)
{
    expectEqual(bytesOfBody(respondAtOnce), bodyBytes);
}

Test(slow_reader, getsAWholePieceOfAStreamThatMakesProgress)
{
    expectEqual(bytesOfBody(writeOnePiece), bodyBytes);
}
