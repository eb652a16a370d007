#include "goldcrestwell/codec/wire_valid.hpp"

namespace goldcrestwell::internal {

namespace {

constexpr unsigned endpoint_bits = 48;
constexpr std::uint32_t min_final_status = 200;
constexpr std::uint32_t max_status = 999;

bool contains_line_break_or_null(const std::string& text) noexcept {
    return text.find_first_of(std::string_view{"\r\n\0", 3}) != std::string::npos;
}

/** @brief Checks for a checkpoint part in a batch with an empty range; peers send their whole state in such batches. */
bool is_checkpoint_batch(const record_batch& value) noexcept {
    return value.after == value.through && value.records.size() == 1 && value.records.front().offset == value.through &&
           std::holds_alternative<checkpoint_part>(value.records.front().record);
}

} // namespace

bool is_valid(const node_id value) noexcept {
    return !value || ((value.value() >> endpoint_bits) == 0 && value.port() != 0);
}

bool is_valid(const share value) noexcept {
    return value <= full_share;
}

bool is_valid(const attempt_id& value) noexcept {
    return static_cast<bool>(value.origin);
}

bool is_valid(const checkpoint_part& value) noexcept {
    return value.index < value.count;
}

bool is_valid(const datagram& value) noexcept {
    return static_cast<bool>(value.sender);
}

bool is_valid(const evidence_report& value) noexcept {
    return static_cast<bool>(value.from);
}

bool is_valid(const evidence_window& value) noexcept {
    return value.failures <= value.calls;
}

bool is_valid(const hello& value) noexcept {
    return static_cast<bool>(value.sender);
}

bool is_valid(const http_response& value) noexcept {
    return value.status >= min_final_status && value.status <= max_status && value.body.size() <= max_body_bytes;
}

// A line break would split one header line into two when it is written to a connection.
bool is_valid(const http_header& value) noexcept {
    return !value.name.empty() && !contains_line_break_or_null(value.name) && !contains_line_break_or_null(value.value);
}

bool is_valid(const call_request& value) noexcept {
    return !value.method.empty() && !contains_line_break_or_null(value.method) && !value.target.empty() &&
           !contains_line_break_or_null(value.target) && value.body.size() <= max_body_bytes;
}

bool is_valid(const member& value) noexcept {
    return static_cast<bool>(value.id) && value.incarnation >= value.start_incarnation;
}

bool is_valid(const rollout_state& value) noexcept {
    return value.stage <= max_rollout_stage;
}

bool is_valid(const record_batch& value) noexcept {
    if (value.through < value.after) {
        return false;
    }
    if (is_checkpoint_batch(value)) {
        return true;
    }
    log_offset last = value.after;
    for (const auto& record : value.records) {
        if (record.offset <= last || record.offset > value.through) {
            return false;
        }
        last = record.offset;
    }
    return true;
}

} // namespace goldcrestwell::internal
