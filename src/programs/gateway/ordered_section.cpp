#include "programs/gateway/ordered_section.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

ordered_section::pass::pass(ordered_section &section, std::uint64_t place)
    : m_section(&section)
    , m_place(place)
{
}

ordered_section::pass::pass(pass &&other) noexcept
    : m_section(std::exchange(other.m_section, nullptr))
    , m_place(other.m_place)
{
}

ordered_section::pass::~pass()
{
    if (m_section) {
        ++m_section->m_departures;
        m_section->m_left.cancel();
    }
}

ordered_section::ordered_section(const asio::any_io_executor &loop)
    : m_left(loop, time_point::max())
{
}

ordered_section::pass ordered_section::lineUp()
{
    return { *this, m_arrivals++ };
}

asio::awaitable<void> ordered_section::enter(const pass &lined)
{
    while (m_departures != lined.m_place) {
        boost::system::error_code ignored;
        co_await m_left.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::uint64_t ordered_section::size() const
{
    return m_arrivals - m_departures;
}

} // namespace mustardtrail::gateway
