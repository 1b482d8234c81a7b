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

/// Sets the log's format: one line per event on standard output.
void configure_log(std::string_view host);

/// As `configure_log`, but never waits for the reader: lines are collected in
/// bounded memory until `flush_log` is called or enough are there.
void configure_buffered_log(std::string_view host);

/// Writes collected lines as far as the reader takes them.
void flush_log();

/// Writes one line `event=NAME key=value ...`. Values with spaces are quoted.
/// Lines are for changes of state; repeated events belong in a counter.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace limpetstack
