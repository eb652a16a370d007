#include "goldcrestwell/core/common/latency_summary.hpp"

#include <cmath>

namespace goldcrestwell {

namespace {

std::chrono::microseconds to_microseconds(const double value) {
    return std::chrono::microseconds{std::llround(value)};
}

} // namespace

latency_summary::latency_summary() : values_{boost::accumulators::extended_p_square_probabilities = quantiles} {}

void latency_summary::add(const std::chrono::microseconds latency) {
    values_(static_cast<double>(latency.count()));
}

latency_summary::size_type latency_summary::count() const {
    return boost::accumulators::count(values_);
}

std::chrono::microseconds latency_summary::sum() const {
    return to_microseconds(boost::accumulators::sum(values_));
}

std::chrono::microseconds latency_summary::max() const {
    return count() == 0 ? std::chrono::microseconds{} : to_microseconds(boost::accumulators::max(values_));
}

std::chrono::microseconds latency_summary::quantile(const size_type index) const {
    if (count() == 0) {
        return {};
    }
    return to_microseconds(boost::accumulators::extended_p_square(values_)[static_cast<std::ptrdiff_t>(index)]);
}

} // namespace goldcrestwell
