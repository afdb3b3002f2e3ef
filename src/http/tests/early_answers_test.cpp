// A server answers a long upload at once and closes or resets the connection while the rest of it is still being sent.

#include "http/client.h"
#include "http/tests/raw_server.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::http::testing::raw_connection;
using mustardtrail::http::testing::raw_server;
using mustardtrail::http::testing::request_part;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t longUpload = 12 * megabyte; ///< More than the socket buffers of both sides hold.
constexpr milliseconds arrivalTime{ 50 }; ///< The peer has received by then what was sent before a reset.
const std::string unframedHead = "HTTP/1.1 200 OK\r\n\r\n";

enum class ending {
    reset,
    close_unread, ///< Closes with bytes of the upload unread, which resets the connection.
    end_then_reset, ///< Ends the sending side before.
    end_and_read_on,
};

boost::asio::awaitable<void> answerEarly(raw_connection &connection, std::string bytes, ending end, milliseconds pause)
{
    co_await connection.send(std::move(bytes));
    if (end == ending::end_then_reset || end == ending::end_and_read_on) {
        connection.endSending();
    }
    co_await connection.pause(pause);
    if (end == ending::reset || end == ending::end_then_reset) {
        connection.reset();
    } else if (end == ending::end_and_read_on) {
        co_await connection.waitUntilClosed();
    }
}

raw_server::script answerEarlyWith(std::string bytes, ending end, milliseconds pause)
{
    return [bytes = std::move(bytes), end, pause](raw_connection &connection) {
        return answerEarly(connection, bytes, end, pause);
    };
}

/// What the client makes of an early answer to an upload: its body, or the code of the error.
std::string answerTo(const std::string &bytes, ending end, size_t uploadBytes = longUpload, milliseconds pause = arrivalTime)
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), answerEarlyWith(bytes, end, pause), request_part::head);
    client caller(context.get_executor());
    request_message upload;
    upload.method = "POST";
    upload.body = std::make_shared<const std::string>(uploadBytes, 'x');
    std::string seen;
    boost::asio::co_spawn(context,
        caller.call(server.address(), std::move(upload), call_limits::within(milliseconds(3'000))),
        [&](std::exception_ptr, const result<response_message> &answer) {
            seen = answer ? answer->body : std::string(toString(answer.error().code));
            context.stop();
        });
    context.run();
    return seen;
}

} // namespace

Test(early_answers, aPartWithoutALengthIsNotCompleteWhenTheConnectionIsReset)
{
    expectEqual(answerTo(unframedHead + "half", ending::reset), toString(error_code::backend_connection_lost));
}

Test(early_answers, aPartWithoutALengthIsNotCompleteWhenTheServerClosesWithTheUploadUnread)
{
    expectEqual(answerTo(unframedHead + "half", ending::close_unread), toString(error_code::backend_connection_lost));
}

// The rest of the upload is in the socket's buffer, or not, when the reset comes.
Test(early_answers, aPartWithoutALengthIsNotCompleteWhateverTheResetMeets)
{
    for (const size_t uploadBytes : { megabyte / 16, megabyte, 2 * megabyte, 3 * megabyte, 6 * megabyte }) {
        for (const milliseconds pause : { milliseconds(0), milliseconds(1), milliseconds(20) }) {
            expectEqual(answerTo(unframedHead + "half", ending::reset, uploadBytes, pause), toString(error_code::backend_connection_lost));
        }
    }
}

Test(early_answers, aHeadWithoutALengthIsNotCompleteWhenTheConnectionIsReset)
{
    expectEqual(answerTo(unframedHead, ending::reset), toString(error_code::backend_connection_lost));
}

Test(early_answers, oneWithoutALengthIsCompleteWhenItsEndCameBeforeTheReset)
{
    expectEqual(answerTo(unframedHead + "whole", ending::end_then_reset), "whole");
}

Test(early_answers, oneWithoutALengthIsCompleteWhenItsServerReadsTheRestOfTheUpload)
{
    expectEqual(answerTo(unframedHead + "whole", ending::end_and_read_on), "whole");
}

Test(early_answers, oneWithALengthIsCompleteAlthoughTheConnectionIsReset)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    expectEqual(answerTo(head + "whole", ending::reset), "whole");
    expectEqual(answerTo(head + "half", ending::reset), toString(error_code::backend_connection_lost));
}

Test(early_answers, oneInChunksIsCompleteAlthoughTheConnectionIsReset)
{
    const std::string part = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";
    expectEqual(answerTo(part + "0\r\n\r\n", ending::reset), "whole");
    expectEqual(answerTo(part, ending::reset), toString(error_code::backend_connection_lost));
}

Test(early_answers, oneWithoutABodyIsCompleteAlthoughTheConnectionIsReset)
{
    expectEqual(answerTo("HTTP/1.1 204 No Content\r\n\r\n", ending::reset), "");
}
