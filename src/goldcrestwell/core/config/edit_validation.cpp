#include "goldcrestwell/core/config/edit_validation.hpp"

#include "goldcrestwell/core/config/config_limits.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace goldcrestwell::internal {

namespace {

bool is_alphanumeric(const char character) noexcept {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

// Characters that RFC 3986 allows in a path segment without escaping, the percent sign of escapes, and the slash.
bool is_path_character(const char character) noexcept {
    constexpr std::string_view punctuation = "-._~!$&'()*+;=:@%/";
    return is_alphanumeric(character) || punctuation.find(character) != std::string_view::npos;
}

bool is_name_character(const char character) noexcept {
    constexpr std::string_view punctuation = "-._+";
    return is_alphanumeric(character) || punctuation.find(character) != std::string_view::npos;
}

bool is_valid_name(const std::string_view name) {
    return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), is_name_character);
}

// Empty segments and a trailing slash are rejected, because they would allow several spellings of one prefix.
bool is_valid_route(const std::string_view route) {
    if (route.empty() || route.size() > max_route_length || route.front() != '/') {
        return false;
    }
    if (route.size() > 1 && route.back() == '/') {
        return false;
    }
    return route.find("//") == std::string_view::npos && std::all_of(route.begin(), route.end(), is_path_character);
}

bool are_limits_in_range(const row_limits& limits) noexcept {
    return limits.max_in_flight <= max_limit && limits.max_connections <= max_limit && limits.max_queue <= max_limit &&
           limits.timeout >= std::chrono::milliseconds{} && limits.timeout <= max_timeout;
}

edit_reason check_deadline(const wall_time deadline, const wall_time created_at) noexcept {
    if (deadline <= created_at) {
        return edit_reason::deadline_passed;
    }
    // Unsigned, because the times are external input and their difference may exceed the signed range.
    const auto duration = static_cast<std::uint64_t>(deadline.time_since_epoch().count()) -
                          static_cast<std::uint64_t>(created_at.time_since_epoch().count());
    const auto max_duration = static_cast<std::uint64_t>(max_rollout_duration.count());
    return duration > max_duration ? edit_reason::deadline_too_far : edit_reason::accepted;
}

edit_reason check_values(const row_values& values, const wall_time created_at) {
    if (!is_valid_name(values.service.value)) {
        return edit_reason::invalid_service;
    }
    if (values.weight > max_weight) {
        return edit_reason::weight_out_of_range;
    }
    if (!are_limits_in_range(values.limits)) {
        return edit_reason::limit_out_of_range;
    }
    return values.deadline ? check_deadline(*values.deadline, created_at) : edit_reason::accepted;
}

edit_reason check_change(const row_change& change, const wall_time created_at) {
    if (!is_valid_route(change.key.route.value)) {
        return edit_reason::invalid_route;
    }
    if (!is_valid_name(change.key.version.value)) {
        return edit_reason::invalid_version;
    }
    return change.values ? check_values(*change.values, created_at) : edit_reason::accepted;
}

edit_defect find_repeated_row(const table_edit& edit) {
    std::vector<std::reference_wrapper<const row_key>> keys;
    keys.reserve(edit.changes.size());
    for (const auto& change : edit.changes) {
        keys.emplace_back(change.key);
    }
    std::sort(keys.begin(), keys.end(), [](const row_key& left, const row_key& right) { return left < right; });
    const auto repeated = std::adjacent_find(keys.begin(), keys.end(),
                                             [](const row_key& left, const row_key& right) { return left == right; });
    return repeated != keys.end() ? edit_defect{edit_reason::row_named_twice, *repeated} : edit_defect{};
}

} // namespace

edit_defect find_edit_defect(const table_edit& edit) {
    if (edit.changes.empty()) {
        return {.reason = edit_reason::empty_edit, .row = {}};
    }
    for (const auto& change : edit.changes) {
        const auto reason = check_change(change, edit.created_at);
        if (reason != edit_reason::accepted) {
            return {.reason = reason, .row = change.key};
        }
    }
    return find_repeated_row(edit);
}

edit_defect find_stale_row(const table_edit& edit, const table_snapshot& table) {
    for (const auto& change : edit.changes) {
        const auto* row = table.find_row(change.key);
        if (change.expected != (row != nullptr ? row->row_version : log_offset{})) {
            return {.reason = edit_reason::stale_row, .row = change.key};
        }
        if (row == nullptr && !change.values) {
            return {.reason = edit_reason::unknown_row, .row = change.key};
        }
    }
    return {};
}

edit_defect find_route_defect(const route_state& state) {
    const auto mismatch = std::find_if(state.rows.begin(), state.rows.end(),
                                       [&state](const table_row& row) { return row.values.service != state.service; });
    if (mismatch != state.rows.end()) {
        return {.reason = edit_reason::mixed_services, .row = mismatch->key};
    }
    const auto has_weight =
        std::any_of(state.rows.begin(), state.rows.end(), [](const table_row& row) { return row.values.weight > 0; });
    return has_weight ? edit_defect{} : edit_defect{edit_reason::no_weight_left, state.rows.front().key};
}

} // namespace goldcrestwell::internal
