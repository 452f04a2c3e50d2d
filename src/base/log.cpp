#include "eelgrassgw/base/log.h"
#include "eelgrassgw/base/json.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>

namespace eelgrassgw {

namespace {

std::string& process_name() {
    static std::string name;
    return name;
}

log4cplus::LogLevel to_log4cplus(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

const char* level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

} // namespace

void open_log(const std::string& process, const std::string& path, log_level min_level) {
    static const log4cplus::Initializer initializer;
    process_name() = process;
    log4cplus::SharedAppenderPtr appender;
    if (path.empty()) {
        appender = new log4cplus::ConsoleAppender(true, true);
    } else {
        appender = new log4cplus::FileAppender(path, std::ios_base::app, true);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(min_level));
}

void log_event(log_level level, const char* event, Json::Value fields) {
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(to_log4cplus(level))) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields["time_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    fields["level"] = level_name(level);
    fields["process"] = process_name();
    fields["event"] = event;
    root.log(to_log4cplus(level), to_text(fields));
}

} // namespace eelgrassgw
