#include "goldcrestwell/core/config/record_size.hpp"

#include <numeric>
#include <type_traits>
#include <vector>

namespace goldcrestwell::internal {

namespace {

// An encoded integer takes at most 9 bytes, and a string at most 5 bytes more than its characters.
constexpr std::size_t max_integer_size = 9;
constexpr std::size_t string_overhead = 5;
constexpr std::size_t container_overhead = 5;
// Number of integers in each struct, counted from its fields.
constexpr std::size_t row_values_integers = 8;
constexpr std::size_t row_integers = 2;
constexpr std::size_t rollout_record_integers = 5;
constexpr std::size_t verdict_integers = 4;
constexpr std::size_t part_integers = 4;

template <typename Tag>
std::size_t size_of(const tagged_string<Tag>& text) noexcept {
    return text.value.size() + string_overhead;
}

std::size_t size_of(const row_key& key) noexcept {
    return size_of(key.route) + size_of(key.version) + container_overhead;
}

std::size_t size_of(const row_values& values) noexcept {
    return size_of(values.service) + row_values_integers * max_integer_size + 2 * container_overhead;
}

std::size_t size_of(const row_change& change) noexcept {
    return size_of(change.key) + max_integer_size + (change.values ? size_of(*change.values) : 1) + container_overhead;
}

template <typename Item, typename Size>
std::size_t size_of_all(const std::vector<Item>& items, const Size size) noexcept {
    return std::accumulate(items.begin(), items.end(), container_overhead,
                           [&size](const std::size_t sum, const Item& item) { return sum + size(item); });
}

template <typename Item>
std::size_t estimated_size_of_all(const std::vector<Item>& items) noexcept {
    return size_of_all(items, [](const Item& item) { return estimated_size(item); });
}

std::size_t size_of(const checkpoint_part& part) noexcept {
    return part_integers * max_integer_size + estimated_size_of_all(part.rows) + estimated_size_of_all(part.bases) +
           estimated_size_of_all(part.rollout_records) + estimated_size_of_all(part.verdicts);
}

std::size_t size_of(const table_edit& edit) noexcept {
    return 3 * max_integer_size + size_of_all(edit.changes, [](const row_change& change) { return size_of(change); });
}

std::size_t size_of(const rollout_record& rollout) noexcept {
    return estimated_size(rollout);
}

std::size_t size_of(const unreadable_record& /*record*/) noexcept {
    return 1;
}

} // namespace

std::size_t estimated_size(const table_row& row) noexcept {
    return size_of(row.key) + size_of(row.values) + row_integers * max_integer_size + container_overhead;
}

std::size_t estimated_size(const route_base& base) noexcept {
    return size_of(base.route) + size_of_all(base.shares, [](const version_share& entry) {
               return size_of(entry.version) + max_integer_size + container_overhead;
           });
}

std::size_t estimated_size(const rollout_record& rollout) noexcept {
    return size_of(rollout.key.row) + rollout_record_integers * max_integer_size + 2 * container_overhead;
}

std::size_t estimated_size(const edit_verdict& verdict) noexcept {
    return size_of(verdict.row) + verdict_integers * max_integer_size + container_overhead;
}

std::size_t estimated_size(const log_record& record) {
    return max_integer_size + container_overhead + std::visit([](const auto& item) { return size_of(item); }, record);
}

} // namespace goldcrestwell::internal
