#include "goldcrestwell/shell/structured_log.hpp"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace goldcrestwell {

namespace {

bool needs_quotes(const std::string_view text) {
    return text.empty() || std::any_of(text.begin(), text.end(), [](const char character) {
               return character <= ' ' || character == '"' || character == '\\' || character == '=';
           });
}

std::string quoted(const std::string_view text) {
    constexpr std::string_view digits{"0123456789abcdef"};
    std::string result{'"'};
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (code < ' ') {
            result += "\\x";
            result += digits[code >> 4U];
            result += digits[code & 0xFU];
        } else {
            result += character;
        }
    }
    return result + '"';
}

std::string_view level_name(const log_level level) {
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
    return "invalid";
}

std::string format_line(const log_level level, const std::string_view event, const std::span<const log_field> fields) {
    std::string line{"level="};
    line += level_name(level);
    line += " event=";
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += needs_quotes(field.value) ? quoted(field.value) : field.value;
    }
    return line;
}

/** @brief Lines per second above which debug and info lines are dropped, and above which all lines are. */
constexpr unsigned max_info_lines_per_second = 60;
constexpr unsigned max_lines_per_second = 120;

log_level min_level = log_level::info;

/** @brief Writes lines to standard output without blocking, up to a number of lines per second. */
class standard_output : public el::LogDispatchCallback {
public:
    /** @brief Counts a line and checks whether the limit per second of its level allows it. */
    [[nodiscard]] bool admit(const log_level level) {
        const auto second = std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now());
        if (second != second_) {
            second_ = second;
            written_lines_ = 0;
            if (const auto dropped = std::exchange(dropped_lines_, 0); dropped > 0) {
                write_line("level=warning event=log_lines_left_out lines=" + std::to_string(dropped) + '\n');
            }
        }
        const auto limit = level >= log_level::warning ? max_lines_per_second : max_info_lines_per_second;
        const auto admitted = written_lines_ < limit;
        ++(admitted ? written_lines_ : dropped_lines_);
        return admitted;
    }

protected:
    void handle(const el::LogDispatchData* data) override {
        write_line(data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true));
    }

private:
    // A writable pipe accepts a line of up to PIPE_BUF bytes in one write, without blocking.
    void write_line(const std::string& line) {
        pollfd descriptor{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const auto ready = poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
        if (!ready || ::write(STDOUT_FILENO, line.data(), std::min<std::size_t>(line.size(), PIPE_BUF)) < 0) {
            ++dropped_lines_;
        }
    }

    std::chrono::time_point<std::chrono::steady_clock, std::chrono::seconds> second_{};
    unsigned written_lines_{};
    unsigned dropped_lines_{};
};

void set_globally(el::Configurations& configuration, const el::ConfigurationType type, const std::string& value) {
    configuration.setGlobally(type, value);
}

} // namespace

void configure_log(const log_options& options) {
    el::Configurations configuration;
    configuration.setToDefault();
    set_globally(configuration, el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    set_globally(configuration, el::ConfigurationType::ToStandardOutput, "false");
    set_globally(configuration, el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    if (!options.file.empty()) {
        set_globally(configuration, el::ConfigurationType::Filename, options.file);
    }
    const auto enabled = [&options](const log_level level) {
        return level >= options.level ? "true" : "false";
    };
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, enabled(log_level::debug));
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, enabled(log_level::info));
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, enabled(log_level::warning));
    configuration.set(el::Level::Error, el::ConfigurationType::Enabled, enabled(log_level::error));
    el::Loggers::reconfigureLogger("default", configuration);
    min_level = options.level;
    el::Helpers::installLogDispatchCallback<standard_output>("standard_output");
}

bool log_enabled(const log_level level) noexcept {
    return level >= min_level;
}

void write_log(const log_level level, const std::string_view event, const std::initializer_list<log_field> fields) {
    write_log(level, event, std::span{fields.begin(), fields.size()});
}

void write_log(const log_level level, const std::string_view event, const std::span<const log_field> fields) {
    auto* const sink = el::Helpers::logDispatchCallback<standard_output>("standard_output");
    if (!log_enabled(level) || (sink != nullptr && !sink->admit(level))) {
        return;
    }
    const auto line = format_line(level, event, fields);
    switch (level) {
    case log_level::debug:
        LOG(DEBUG) << line;
        break;
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace goldcrestwell
