#ifndef GOLDCRESTWELL_CODEC_TABLE_COLUMNS_HPP
#define GOLDCRESTWELL_CODEC_TABLE_COLUMNS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell::internal {

/** @brief Columns of the operators' table, in the order of an export. */
enum class table_column : std::uint8_t {
    route,
    service,
    upstream_version,
    weight,
    deadline,
    max_in_flight,
    max_connections,
    max_queue,
    timeout_ms,
    idempotent,
    on_thin_evidence,
    row_version,
    state,
    share,
    reason,
};

inline constexpr std::size_t table_column_count = 15;
/** @brief Number of leading columns that an operator's file must have. */
inline constexpr std::size_t required_column_count = 11;

inline constexpr std::array<std::string_view, table_column_count> table_column_names{"route",
                                                                                     "service",
                                                                                     "upstream_version",
                                                                                     "weight",
                                                                                     "deadline",
                                                                                     "max_in_flight",
                                                                                     "max_connections",
                                                                                     "max_queue",
                                                                                     "timeout_ms",
                                                                                     "idempotent",
                                                                                     "on_thin_evidence",
                                                                                     "row_version",
                                                                                     "state",
                                                                                     "share",
                                                                                     "reason"};

} // namespace goldcrestwell::internal

#endif
