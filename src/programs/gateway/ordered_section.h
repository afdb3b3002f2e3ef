#pragma once

#include "programs/gateway/monotonic_timer.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace mustardtrail::gateway
{

/// Part of the code that the coroutines of one event loop pass one at a time, in the order of their arrival.
class ordered_section
{
public:
    /// A place in the order; whoever holds it leaves the section with its destruction.
    class pass
    {
    public:
        pass(ordered_section &section, std::uint64_t place);
        ~pass();
        pass(const pass &) = delete;
        pass &operator=(const pass &) = delete;
        pass(pass &&other) noexcept;
        pass &operator=(pass &&other) = delete;

    private:
        friend ordered_section;

        ordered_section *m_section;
        std::uint64_t m_place;
    };

    explicit ordered_section(const boost::asio::any_io_executor &loop);

    pass lineUp();
    /// Returns when all that lined up before have left.
    boost::asio::awaitable<void> enter(const pass &lined);
    /// Passes held.
    std::uint64_t size() const;

private:
    monotonic_timer m_left;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_departures = 0;
};

} // namespace mustardtrail::gateway
