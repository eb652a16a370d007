#include "goldcrestwell/shell/position_view.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(position_view_suite)

// Guards against positions of the store that are shown as one number, which nobody can compare with the store.
BOOST_AUTO_TEST_CASE(position_in_the_store_has_an_era) {
    const auto view = position_view::of(make_store_offset(store_era{2}, 12), true);
    BOOST_TEST(view.number == 12U);
    BOOST_REQUIRE(view.era.has_value());
    BOOST_TEST(view.era->value() == 2U);
}

// Guards against a log that is longer than the numbers of a store, whose positions must not be split.
BOOST_AUTO_TEST_CASE(position_in_the_log_has_none) {
    constexpr std::uint64_t position = (std::uint64_t{2} << store_number_bits) + 12;
    const auto view = position_view::of(log_offset{position}, false);
    BOOST_TEST(view.number == position);
    BOOST_TEST(!view.era.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
