#ifndef GOLDCRESTWELL_CORE_CONFIG_CONFIG_LIMITS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CONFIG_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

/** @brief Limits of the table and of edits; constants, because every node must come to the same verdict. */
namespace goldcrestwell {

inline constexpr std::uint32_t max_weight = 1000;
/** @brief About 25 times the 4,000 rows that are expected for 1,100 services. */
inline constexpr std::size_t max_table_rows = 100'000;
inline constexpr std::size_t max_route_length = 200;
inline constexpr std::size_t max_name_length = 64;
/** @brief Maximum of a count in `row_limits`. */
inline constexpr std::uint32_t max_limit = 1'000'000;
inline constexpr std::chrono::milliseconds max_timeout = std::chrono::hours{1};
/** @brief Maximum time from the creation of an edit to its deadline; a later one is probably a mistyped year. */
inline constexpr std::chrono::milliseconds max_rollout_duration = std::chrono::days{31};

/**
 * @brief Number of verdicts that are kept to detect duplicate edits: about half a day at 4,200 edits a day.
 *
 * An older duplicate of an accepted edit is still rejected, because its row versions are stale.
 */
inline constexpr std::size_t max_verdicts = 2'048;
/** @brief Number of recent changes whose digests are kept; a checkpoint of an older state is not compared. */
inline constexpr std::size_t max_digests = 1'024;

} // namespace goldcrestwell

#endif
