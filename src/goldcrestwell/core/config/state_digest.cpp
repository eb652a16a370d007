#include "goldcrestwell/core/config/state_digest.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"

#include <string>
#include <string_view>

namespace goldcrestwell::internal {

namespace {

// Writes fields in a fixed byte order and with lengths, so that equal bytes mean equal fields on every host.
class field_writer {
public:
    field_writer& number(std::uint64_t value) {
        for (int byte = 0; byte < 8; ++byte) {
            bytes_.push_back(static_cast<char>(value & 0xFFU));
            value >>= 8U;
        }
        return *this;
    }

    field_writer& text(const std::string_view value) {
        number(value.size());
        bytes_.append(value);
        return *this;
    }

    [[nodiscard]] std::uint64_t hash() const { return stable_hash(bytes_); }

private:
    std::string bytes_;
};

template <typename Duration>
std::uint64_t count_of(const Duration duration) {
    return static_cast<std::uint64_t>(duration.count());
}

void write_limits(field_writer& writer, const row_limits& limits) {
    writer.number(limits.max_in_flight).number(limits.max_connections).number(limits.max_queue);
    writer.number(count_of(limits.timeout));
}

void write_row(field_writer& writer, const table_row& row) {
    writer.text(row.key.version.value).number(row.row_version.value());
    writer.number(count_of(row.changed_at.time_since_epoch()));
    writer.text(row.values.service.value).number(row.values.weight).number(row.values.deadline ? 1 : 0);
    writer.number(row.values.deadline ? count_of(row.values.deadline->time_since_epoch()) : 0);
    write_limits(writer, row.values.limits);
    writer.number(row.values.idempotent ? 1 : 0).number(static_cast<std::uint64_t>(row.values.on_thin_evidence));
}

void write_rollout_record(field_writer& writer, const rollout_record& rollout) {
    writer.text(rollout.key.row.version.value).number(rollout.key.row_version.value()).number(rollout.state.stage);
    writer.number(rollout.state.done ? 1 : 0).number(rollout.state.rolled_back ? 1 : 0);
    writer.number(static_cast<std::uint64_t>(rollout.state.reason)).number(rollout.state.rechecks);
}

} // namespace

std::uint64_t digest_of(const route_state& state) {
    field_writer writer;
    writer.text(state.route.value).text(state.service.value).number(state.rows.size());
    for (const auto& row : state.rows) {
        write_row(writer, row);
    }
    writer.number(state.base.size());
    for (const auto& entry : state.base) {
        writer.text(entry.version.value).number(entry.share.value());
    }
    writer.number(state.rollout_records.size());
    for (const auto& rollout : state.rollout_records) {
        write_rollout_record(writer, rollout);
    }
    return writer.hash();
}

std::uint64_t digest_of(const edit_verdict& verdict) {
    field_writer writer;
    writer.number(verdict.id.high).number(verdict.id.low).number(verdict.offset.value());
    writer.number(static_cast<std::uint64_t>(verdict.reason));
    writer.text(verdict.row.route.value).text(verdict.row.version.value);
    return writer.hash();
}

std::uint64_t digest_of_state(const std::uint64_t sum, const log_offset covered_offset) {
    field_writer writer;
    writer.number(sum).number(covered_offset.value());
    return writer.hash();
}

} // namespace goldcrestwell::internal
