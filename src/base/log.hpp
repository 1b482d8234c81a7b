#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace limpetstack
{

enum class log_level
{
    info,
    warning,
    error
};

using log_field = std::pair<std::string_view, std::string>;

/// Sets the log's format: one line per event on standard error.
void configure_log(std::string_view host);

/// Writes one line `event=NAME key=value ...`. Values with spaces are quoted.
/// Lines are for changes of state; repeated events belong in a counter.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace limpetstack
