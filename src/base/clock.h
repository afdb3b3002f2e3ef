#pragma once

#include <chrono>

namespace mustardtrail
{

/// Point on the monotonic clock of one process; never comparable between processes.
using time_point = std::chrono::steady_clock::time_point;

/// Source of monotonic time. Decisions never read a clock; hosts read one and pass the value in.
class monotonic_clock
{
public:
    virtual ~monotonic_clock() = default;
    virtual time_point now() const = 0;
};

/// Clock of the machine, including the time the process spent stopped.
class system_monotonic_clock final : public monotonic_clock
{
public:
    time_point now() const override;
};

/// Clock for tests and for hosts that keep their own time.
class manual_clock final : public monotonic_clock
{
public:
    time_point now() const override;
    void advance(std::chrono::nanoseconds step);

private:
    time_point m_now{};
};

} // namespace mustardtrail
