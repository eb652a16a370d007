#include "goldcrestwell/core/config/checkpoint_writer.hpp"

#include "goldcrestwell/core/config/record_size.hpp"

namespace goldcrestwell::internal {

checkpoint_part& checkpoint_writer::part_for(const std::size_t bytes) {
    if (part_bytes_ > 0 && part_bytes_ + bytes > max_part_bytes_) {
        parts_.emplace_back();
        part_bytes_ = 0;
    }
    part_bytes_ += bytes;
    return parts_.back();
}

void checkpoint_writer::add(const route_state& state) {
    for (const auto& row : state.rows) {
        part_for(estimated_size(row)).rows.push_back(row);
    }
    const route_base base{.route = state.route, .shares = state.base};
    part_for(estimated_size(base)).bases.push_back(base);
    for (const auto& rollout : state.rollout_records) {
        part_for(estimated_size(rollout)).rollout_records.push_back(rollout);
    }
}

void checkpoint_writer::add(const edit_verdict& verdict) {
    part_for(estimated_size(verdict)).verdicts.push_back(verdict);
}

std::vector<checkpoint_part> checkpoint_writer::finish(const log_offset covered_offset, const std::uint64_t digest) && {
    std::uint32_t index = 0;
    for (auto& part : parts_) {
        part.covered_offset = covered_offset;
        part.digest = digest;
        part.index = index++;
        part.count = static_cast<std::uint32_t>(parts_.size());
    }
    return std::move(parts_);
}

} // namespace goldcrestwell::internal
