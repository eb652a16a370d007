#include "goldcrestwell/cli/limit_overrides.hpp"

#include <cstdlib>

namespace goldcrestwell {

namespace {

struct overridable_limit {
    std::string option;
    std::string variable;
    std::size_t min_value{};
    std::size_t max_value{};
};

struct given_value {
    std::string source;
    std::string text;
};

std::optional<given_value> find_value(const overridable_limit& limit, const limit_sources& sources) {
    if (auto text = sources.option(limit.option)) {
        return given_value{.source = "--" + limit.option, .text = std::move(*text)};
    }
    if (auto text = sources.variable(limit.variable); text && !text->empty()) {
        return given_value{.source = limit.variable, .text = std::move(*text)};
    }
    return std::nullopt;
}

std::optional<std::size_t> parse_limit(const std::string& text, const overridable_limit& limit) {
    char* end{};
    const auto number = std::strtod(text.c_str(), &end);
    const auto in_range =
        number >= static_cast<double>(limit.min_value) && number <= static_cast<double>(limit.max_value);
    if (text.empty() || *end != '\0' || !in_range) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(number);
}

std::optional<std::string> override_limit(const overridable_limit& limit, const limit_sources& sources,
                                          std::size_t& value) {
    const auto given = find_value(limit, sources);
    if (!given) {
        return std::nullopt;
    }
    const auto number = parse_limit(given->text, limit);
    if (!number) {
        return given->source + ": expected " + std::to_string(limit.min_value) + " to " +
               std::to_string(limit.max_value) + ", got \"" + given->text + "\"";
    }
    value = *number;
    return std::nullopt;
}

} // namespace

std::optional<std::string> override_limits(const limit_sources& sources, resource_settings& limits) {
    const overridable_limit memory{.option = "memory-mb",
                                   .variable = "GOLDCRESTWELL_MEMORY_MB",
                                   .min_value = min_memory_mb,
                                   .max_value = max_memory_mb};
    const overridable_limit descriptors{.option = "max-fds",
                                        .variable = "GOLDCRESTWELL_MAX_FDS",
                                        .min_value = min_descriptors,
                                        .max_value = max_descriptors};
    if (auto fault = override_limit(memory, sources, limits.memory_mb)) {
        return fault;
    }
    return override_limit(descriptors, sources, limits.max_fds);
}

} // namespace goldcrestwell
