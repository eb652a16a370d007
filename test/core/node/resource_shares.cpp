#include "goldcrestwell/core/node/resource_shares.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t reserved_files = 200;
// Readiness, announcements and operators.
constexpr std::size_t service_listeners = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(resource_division)

// Guards against limits that together exceed the resources of the host.
BOOST_AUTO_TEST_CASE(shares_do_not_exceed_the_resources) {
    for (const std::size_t memory_mb : {64, 96, 160, 256, 260, 512, 4'000, 1'000'000}) {
        for (const std::size_t descriptors : {256, 400, 1'000, 4'100, 8'192, 1'000'000}) {
            const auto shares = divide_resources(memory_mb * megabyte, descriptors);
            BOOST_TEST(shares.buffer_bytes < memory_mb * megabyte);
            BOOST_TEST(shares.small_buffer_bytes < shares.buffer_bytes);
            BOOST_TEST(shares.archive_bytes < shares.buffer_bytes);
            BOOST_TEST(shares.caller_connections + shares.peer_connections + shares.upstream_connections +
                           service_listeners * shares.service_connections + reserved_files <
                       descriptors);
            BOOST_TEST(shares.caller_connections > 0U);
            BOOST_TEST(shares.upstream_connections > 0U);
            BOOST_TEST(shares.service_connections > 0U);
        }
    }
}

// Guards against a smallest host that cannot hold one request of the largest legal size.
BOOST_AUTO_TEST_CASE(smallest_host_holds_the_largest_body) {
    const auto shares = divide_resources(160 * megabyte, 4'100);
    BOOST_TEST(shares.buffer_bytes - shares.small_buffer_bytes > 68 * mebibyte);
    // As many connections as the largest deployment has callers for each host, many times over.
    BOOST_TEST(shares.caller_connections > 700U);
    BOOST_TEST(shares.peer_connections > 2 * 295U);
}

BOOST_AUTO_TEST_SUITE_END()
