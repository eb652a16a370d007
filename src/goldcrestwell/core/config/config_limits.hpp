#ifndef GOLDCRESTWELL_CORE_CONFIG_CONFIG_LIMITS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CONFIG_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

/** @brief Limits that decide over edits; they are constants because every node must decide alike. */
namespace goldcrestwell {

inline constexpr std::uint32_t max_weight = 1000;
/** @brief About 25 times the 4,000 rows expected for 1,100 services. */
inline constexpr std::size_t max_table_rows = 100'000;
inline constexpr std::size_t max_route_length = 200;
inline constexpr std::size_t max_name_length = 64;
/** @brief Largest count in a limit of a row. */
inline constexpr std::uint32_t max_limit = 1'000'000;
inline constexpr std::chrono::milliseconds max_timeout = std::chrono::hours{1};
/** @brief A later deadline is taken for a mistyped year. */
inline constexpr std::chrono::milliseconds max_move_duration = std::chrono::days{31};

/**
 * @brief Verdicts kept to recognise an edit that is appended again, about half a day at 4,200 edits a day.
 *
 * An older duplicate of an accepted edit is still rejected, because its row versions are stale.
 */
inline constexpr std::size_t max_verdicts = 2'048;
/** @brief Changes between the writing of a checkpoint and its parts in the log that the comparison can bridge. */
inline constexpr std::size_t digest_history_records = 1'024;

} // namespace goldcrestwell

#endif
