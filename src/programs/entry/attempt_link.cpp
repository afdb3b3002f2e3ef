#include "programs/entry/attempt_link.h"

#include "programs/entry/entry_host.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::entry
{

namespace
{

constexpr size_t waitingBytesLimit = 256 * 1024; ///< Answer bytes that may wait for a slow reader.
constexpr std::chrono::milliseconds readerPause{ 5 };

} // namespace

boost::asio::awaitable<void> attempt_link::waitForReader(const entry_host &host, const attempt_id &attempt) const
{
    while (!m_closed && host.waitingBytes(attempt) > waitingBytesLimit) {
        boost::asio::steady_timer pause(host.strand(), readerPause);
        boost::system::error_code ignored;
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

} // namespace mustardtrail::entry
