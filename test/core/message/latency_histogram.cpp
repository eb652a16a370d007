#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(latency_buckets)

// Guards against counting a latency in a bucket whose limits do not include it.
BOOST_AUTO_TEST_CASE(latency_lies_within_its_bucket) {
    for (std::int64_t latency = 1; latency < 20'000'000; latency = latency * 3 + 1) {
        const auto bucket = latency_bucket(std::chrono::microseconds{latency});
        BOOST_TEST(latency < latency_bucket_limit(bucket).count());
        BOOST_TEST((bucket == 0 || latency >= latency_bucket_limit(bucket - 1).count()));
    }
}

// Guards against an out-of-range bucket index for a very high latency.
BOOST_AUTO_TEST_CASE(very_high_latency_falls_into_the_last_bucket) {
    BOOST_TEST(latency_bucket(std::chrono::hours{24}) == std::tuple_size_v<latency_histogram> - 1);
}

BOOST_AUTO_TEST_SUITE_END()
