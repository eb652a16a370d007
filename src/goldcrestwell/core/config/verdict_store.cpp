#include "goldcrestwell/core/config/verdict_store.hpp"

#include "goldcrestwell/core/config/config_limits.hpp"
#include "goldcrestwell/core/config/state_digest.hpp"

namespace goldcrestwell::internal {

void verdict_store::add(const edit_verdict& verdict) {
    by_offset_.push_back(verdict);
    by_id_.insert_or_assign(verdict.id, verdict);
    digest_ += digest_of(verdict);
    if (by_offset_.size() > max_verdicts) {
        digest_ -= digest_of(by_offset_.front());
        by_id_.erase(by_offset_.front().id);
        by_offset_.pop_front();
    }
}

const edit_verdict* verdict_store::find(const edit_id& id) const noexcept {
    const auto found = by_id_.find(id);
    return found != by_id_.end() ? &found->second : nullptr;
}

} // namespace goldcrestwell::internal
