#include "goldcrestwell/core/membership/digest_hash.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/membership/member_order.hpp"

namespace goldcrestwell {

namespace {

/** Finaliser of splitmix64. */
constexpr std::uint64_t mix(std::uint64_t value) noexcept {
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t combine(const std::uint64_t seed, const std::uint64_t value) noexcept {
    return mix(seed ^ mix(value));
}

} // namespace

std::size_t digest_bucket(const node_id id) noexcept {
    return mix(id.value()) % digest_bucket_count;
}

std::uint64_t digest_hash(const member& record) noexcept {
    if (is_tombstone(record.status)) {
        return 0;
    }
    auto hash = combine(record.id.value(), record.incarnation.value());
    hash = combine(hash, record.start_incarnation.value());
    return combine(hash, record.status == member_status::leaving ? 1U : 0U);
}

std::uint64_t digest_hash(const rollout_update& update) noexcept {
    auto hash = combine(stable_hash(update.key.row.route.value), stable_hash(update.key.row.version.value));
    hash = combine(hash, update.key.row_version.value());
    const auto flags = (update.state.done ? 1U : 0U) | (update.state.rolled_back ? 2U : 0U);
    hash = combine(hash, (std::uint64_t{update.state.stage} << 8U) | flags);
    hash = combine(hash, static_cast<std::uint64_t>(update.state.reason));
    return combine(hash, update.state.rechecks);
}

} // namespace goldcrestwell
