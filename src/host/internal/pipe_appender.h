#pragma once

#include <log4cplus/appender.h>

#include <atomic>

namespace mustardtrail::host
{

/// Writes lines to a descriptor and never waits for its reader: what does not fit at once is dropped and counted.
class pipe_appender final : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor);
    ~pipe_appender() override;

    void close() override;
    std::uint64_t dropped() const;

    /// POSIX writes up to this whole to a pipe that polls as writable, without blocking (PIPE_BUF is 4,096 on Linux).
    static constexpr size_t longestLine = 4'096;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::atomic<std::uint64_t> m_dropped{ 0 };
};

} // namespace mustardtrail::host
