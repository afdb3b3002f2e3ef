#include "host/log.h"

#include "host/internal/pipe_appender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <unistd.h>

namespace mustardtrail::host
{

namespace
{

log4cplus::LogLevel levelOf(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

// Owned by the root logger, which lives as long as the program.
const pipe_appender *openAppender = nullptr;

} // namespace

void openLog(log_level level, const std::string &program)
{
    static log4cplus::Initializer initializer;
    auto appender = std::make_unique<pipe_appender>(STDOUT_FILENO);
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=" + program + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    openAppender = appender.get();
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.setLogLevel(levelOf(level));
    root.addAppender(log4cplus::SharedAppenderPtr(appender.release()));
}

void log(log_level level, const log_line &line)
{
    log4cplus::Logger::getRoot().log(levelOf(level), line.str(), nullptr, -1, nullptr);
}

std::uint64_t droppedLogLines()
{
    return openAppender ? openAppender->dropped() : 0;
}

} // namespace mustardtrail::host
