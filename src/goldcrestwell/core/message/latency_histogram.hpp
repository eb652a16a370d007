#ifndef GOLDCRESTWELL_CORE_MESSAGE_LATENCY_HISTOGRAM_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_LATENCY_HISTOGRAM_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Number of calls by latency; `latency_bucket_limit(n)` is the exclusive upper limit of bucket n. */
using latency_histogram = std::array<std::uint32_t, 40>;

/** @return Upper limit of a bucket; limits start at 100 us, with eight per decade. */
[[nodiscard]] std::chrono::microseconds latency_bucket_limit(std::size_t bucket) noexcept;

/** @return Index of the bucket for a latency; the last bucket has no upper limit. */
[[nodiscard]] std::size_t latency_bucket(std::chrono::microseconds latency) noexcept;

} // namespace goldcrestwell

#endif
