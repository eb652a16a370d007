#ifndef GOLDCRESTWELL_CORE_CONFIG_RECORD_SIZE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_RECORD_SIZE_HPP

#include "goldcrestwell/core/message/log_record.hpp"

#include <cstddef>

/** @brief Estimated sizes in bytes, for limits; each is an upper bound for a compact binary encoding. */
namespace goldcrestwell::internal {

[[nodiscard]] std::size_t estimated_size(const table_row& row) noexcept;
[[nodiscard]] std::size_t estimated_size(const route_base& base) noexcept;
[[nodiscard]] std::size_t estimated_size(const rollout_record& rollout) noexcept;
[[nodiscard]] std::size_t estimated_size(const edit_verdict& verdict) noexcept;
[[nodiscard]] std::size_t estimated_size(const log_record& record);

} // namespace goldcrestwell::internal

#endif
