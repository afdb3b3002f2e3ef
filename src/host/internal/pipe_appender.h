#pragma once

#include <log4cplus/appender.h>

#include <atomic>

namespace mustardtrail::host
{

/// Writes log lines to a descriptor without blocking; lines that do not fit at once are dropped and counted.
class pipe_appender final : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor);
    ~pipe_appender() override;

    void close() override;
    std::uint64_t dropped() const;

    /// POSIX writes up to PIPE_BUF bytes (4,096 on Linux) to a pipe that polls as writable completely and without blocking.
    static constexpr size_t maxLineBytes = 4'096;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::atomic<std::uint64_t> m_dropped{ 0 };
};

} // namespace mustardtrail::host
