#ifndef GOLDCRESTWELL_CORE_MESSAGE_LATENCY_HISTOGRAM_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_LATENCY_HISTOGRAM_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Calls by latency; bucket n holds latencies below `latency_bucket_limit(n)`. */
using latency_histogram = std::array<std::uint32_t, 40>;

/** @return Upper limit of a bucket; limits grow by a factor of the eighth root of ten from 100 us. */
[[nodiscard]] std::chrono::microseconds latency_bucket_limit(std::size_t bucket) noexcept;

/** @return Bucket of a latency; the last bucket has no upper limit. */
[[nodiscard]] std::size_t latency_bucket(std::chrono::microseconds latency) noexcept;

} // namespace goldcrestwell

#endif
