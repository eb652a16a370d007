#ifndef GOLDCRESTWELL_CORE_COMMON_LATENCY_SUMMARY_HPP
#define GOLDCRESTWELL_CORE_COMMON_LATENCY_SUMMARY_HPP

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Count, sum, maximum and estimated quantiles of latencies since the start of the process. */
class latency_summary {
public:
    using size_type = std::size_t;

    /** @brief Estimated quantiles, as fractions. */
    static constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

    latency_summary();

    void add(std::chrono::microseconds latency);

    [[nodiscard]] size_type count() const;
    [[nodiscard]] std::chrono::microseconds sum() const;
    [[nodiscard]] std::chrono::microseconds max() const;
    /** @param index Index into `quantiles`. */
    [[nodiscard]] std::chrono::microseconds quantile(size_type index) const;

private:
    using statistics =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>;

    boost::accumulators::accumulator_set<double, statistics> values_;
};

} // namespace goldcrestwell

#endif
