#include "base/log.hpp"

#include "base/log_sink.hpp"

#include <easylogging++.h>

#include <unistd.h>

#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace limpetstack
{
namespace
{

std::string quoted(const std::string& value)
{
    const bool plain =
        !value.empty() && value.find_first_of(" \"\n=") == std::string::npos;
    if (plain)
    {
        return value;
    }
    std::string out = "\"";
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out + '"';
}

// A reader may stop for about this many lines before some are dropped.
constexpr std::size_t max_buffered_bytes = 1U << 20U;
constexpr std::size_t flush_bytes = 16U << 10U;

log_sink& standard_output()
{
    static log_sink sink(STDOUT_FILENO, max_buffered_bytes, flush_bytes);
    return sink;
}

class buffered_dispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto* const message = data->logMessage();
        standard_output().add(
            message->logger()->logBuilder()->build(message, true));
    }
};

} // namespace

void configure_buffered_log(std::string_view host)
{
    configure_log(host);
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::ToStandardOutput,
                                       "false");
    el::Helpers::installLogDispatchCallback<buffered_dispatch>("buffered");
}

void flush_log()
{
    standard_output().flush();
}

void configure_log(std::string_view host)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level "
                         "host=" +
                             std::string(host) + " %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", settings);
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    std::ostringstream line;
    line << "event=" << event;
    for (const auto& [key, value] : fields)
    {
        line << ' ' << key << '=' << quoted(value);
    }
    switch (level)
    {
    case log_level::info:
        LOG(INFO) << line.str();
        break;
    case log_level::warning:
        LOG(WARNING) << line.str();
        break;
    case log_level::error:
        LOG(ERROR) << line.str();
        break;
    }
}

} // namespace limpetstack
