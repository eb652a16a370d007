#include "goldcrestwell/shell/structured_log.hpp"

#include <easylogging++.h>

#include <algorithm>

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

std::string format_line(const log_level level, const std::string_view event,
                        const std::initializer_list<log_field> fields) {
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

void set_for_all(el::Configurations& configuration, const el::ConfigurationType type, const std::string& value) {
    configuration.setGlobally(type, value);
}

} // namespace

void configure_log(const log_options& options) {
    el::Configurations configuration;
    configuration.setToDefault();
    set_for_all(configuration, el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    set_for_all(configuration, el::ConfigurationType::ToStandardOutput, "true");
    set_for_all(configuration, el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    if (!options.file.empty()) {
        set_for_all(configuration, el::ConfigurationType::Filename, options.file);
    }
    const auto enabled = [&options](const log_level level) {
        return level >= options.level ? "true" : "false";
    };
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, enabled(log_level::debug));
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, enabled(log_level::info));
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, enabled(log_level::warning));
    configuration.set(el::Level::Error, el::ConfigurationType::Enabled, enabled(log_level::error));
    el::Loggers::reconfigureLogger("default", configuration);
}

void write_log(const log_level level, const std::string_view event, const std::initializer_list<log_field> fields) {
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
