#ifndef GOLDCRESTWELL_SHELL_STRUCTURED_LOG_HPP
#define GOLDCRESTWELL_SHELL_STRUCTURED_LOG_HPP

#include "goldcrestwell/codec/node_settings.hpp"
#include "goldcrestwell/shell/log_field.hpp"

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Minimum level and destination of log lines. */
struct log_options {
    log_level level{log_level::info};
    /** @brief File to append to; if empty, lines go to standard output only. */
    std::string file;
};

/** @brief Configures logging for the process. */
void configure_log(const log_options& options);

/** @brief Checks whether lines of a level are written. */
[[nodiscard]] bool log_enabled(log_level level) noexcept;

/**
 * @brief Writes `time level=... event=... name=value ...`; values with spaces, quotes or control characters are quoted.
 * @param event Name of the event, in lower case with underscores.
 */
void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});
void write_log(log_level level, std::string_view event, std::span<const log_field> fields);

} // namespace goldcrestwell

#endif
