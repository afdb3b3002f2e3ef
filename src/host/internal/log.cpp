#include "host/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

const char *nameOf(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "DEBUG";
    case log_level::info:
        return "INFO";
    case log_level::warning:
        return "WARN";
    }
    return "INFO";
}

} // namespace

void openLog(log_level level, const std::string &program)
{
    static log4cplus::Initializer initializer;
    log4cplus::helpers::Properties properties;
    properties.setProperty("log4cplus.rootLogger", std::string(nameOf(level)) + ", OUT");
    properties.setProperty("log4cplus.appender.OUT", "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.OUT.ImmediateFlush", "true");
    properties.setProperty("log4cplus.appender.OUT.layout", "log4cplus::PatternLayout");
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=" + program + " %m%n";
    properties.setProperty("log4cplus.appender.OUT.layout.ConversionPattern", pattern);
    log4cplus::PropertyConfigurator(properties).configure();
}

void log(log_level level, const log_line &line)
{
    log4cplus::Logger::getRoot().log(levelOf(level), line.str(), nullptr, -1, nullptr);
}

} // namespace mustardtrail::host
