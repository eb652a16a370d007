#include "goldcrestwell/core/config/table_reducer.hpp"

#include "goldcrestwell/core/config/state_digest.hpp"

namespace goldcrestwell {

table_reducer::table_reducer(table_reducer_options options)
    : options_{options}, snapshot_{std::make_shared<const table_snapshot>()} {}

std::optional<edit_verdict> table_reducer::apply(const sequenced_record& record) {
    advance_to(record.offset);
    return std::nullopt;
}

void table_reducer::advance_to(const log_offset through) {
    if (through > position_) {
        position_ = through;
    }
}

bool table_reducer::restore(std::span<const checkpoint_part> /*parts*/) {
    return false;
}

std::optional<edit_verdict> table_reducer::verdict(const edit_id& id) const {
    const auto* found = verdicts_.find(id);
    return found != nullptr ? std::optional{*found} : std::nullopt;
}

std::uint64_t table_reducer::digest() const noexcept {
    return internal::digest_of_state(table_digest_, verdicts_.digest(), position_);
}

std::vector<checkpoint_part> table_reducer::make_checkpoint() const {
    return {};
}

} // namespace goldcrestwell
