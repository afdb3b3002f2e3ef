#pragma once

#include <chrono>

namespace mustardtrail
{

/// Point on the monotonic clock of one process; never comparable between processes.
using time_point = std::chrono::steady_clock::time_point;

/// Source of monotonic time. Decision logic never reads a clock: its host reads it and passes the time in.
class monotonic_clock
{
public:
    virtual ~monotonic_clock() = default;
    virtual time_point now() const = 0;
};

/// System clock; it keeps counting while the machine is suspended or the process is stopped.
class system_monotonic_clock final : public monotonic_clock
{
public:
    time_point now() const override;
};

/// Manually advanced clock for tests and for hosts that control the time themselves.
class manual_clock final : public monotonic_clock
{
public:
    time_point now() const override;
    void advance(std::chrono::nanoseconds step);

private:
    time_point m_now{};
};

} // namespace mustardtrail
