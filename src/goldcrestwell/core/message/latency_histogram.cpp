#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace goldcrestwell {

namespace {

using limit_table = std::array<std::chrono::microseconds, std::tuple_size_v<latency_histogram>>;

constexpr std::chrono::microseconds first_limit{100};
constexpr double limits_per_decade = 8.0;

limit_table make_limits() {
    limit_table limits{};
    for (std::size_t bucket = 0; bucket < limits.size(); ++bucket) {
        const auto factor = std::pow(10.0, static_cast<double>(bucket) / limits_per_decade);
        limits[bucket] = std::chrono::microseconds{std::llround(static_cast<double>(first_limit.count()) * factor)};
    }
    limits.back() = std::chrono::microseconds::max();
    return limits;
}

const limit_table& limits() {
    static const limit_table table = make_limits();
    return table;
}

} // namespace

std::chrono::microseconds latency_bucket_limit(const std::size_t bucket) noexcept {
    return limits()[std::min(bucket, limits().size() - 1)];
}

std::size_t latency_bucket(const std::chrono::microseconds latency) noexcept {
    const auto found = std::upper_bound(limits().begin(), limits().end() - 1, latency);
    return static_cast<std::size_t>(found - limits().begin());
}

} // namespace goldcrestwell
