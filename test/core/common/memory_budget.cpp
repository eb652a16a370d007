#include "goldcrestwell/core/common/memory_budget.hpp"

#include "goldcrestwell/core/common/memory_reservation.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(memory_budgets)

// Guards against large messages that leave nothing for small ones.
BOOST_AUTO_TEST_CASE(part_of_the_capacity_is_kept_for_small_uses) {
    memory_budget budget{{.capacity_bytes = 100, .small_use_bytes = 25}};
    BOOST_TEST(budget.try_reserve(75, memory_use::large));
    BOOST_TEST(!budget.try_reserve(1, memory_use::large));
    BOOST_TEST(budget.try_reserve(25, memory_use::small));
    BOOST_TEST(!budget.try_reserve(1, memory_use::small));
    BOOST_TEST(budget.used() == 100U);
    BOOST_TEST(budget.refusals() == 2U);
    budget.release(100);
    BOOST_TEST(budget.used() == 0U);
    BOOST_TEST(budget.peak() == 100U);
}

// Guards against sums that overflow, with which any size would fit.
BOOST_AUTO_TEST_CASE(huge_reservations_are_refused) {
    memory_budget budget{{.capacity_bytes = 100}};
    BOOST_TEST(budget.try_reserve(1, memory_use::small));
    BOOST_TEST(!budget.try_reserve(static_cast<std::size_t>(-1), memory_use::small));
    BOOST_TEST(budget.used() == 1U);
}

// Guards against giving up after the first release, and against a release that never ends.
BOOST_AUTO_TEST_CASE(memory_is_reclaimed_until_the_reservation_fits) {
    memory_budget budget{{.capacity_bytes = 100}};
    std::vector<memory_use> uses;
    budget.on_shortage([&](const memory_use use) {
        uses.push_back(use);
        if (budget.used() == 0) {
            return false;
        }
        budget.release(40);
        return true;
    });
    BOOST_TEST(budget.try_reserve(80, memory_use::large));
    BOOST_TEST(budget.try_reserve(100, memory_use::small));
    BOOST_TEST(uses.size() == 2U);
    BOOST_TEST(!budget.try_reserve(101, memory_use::small));
    BOOST_TEST(budget.used() == 0U);
}

// Guards against endless recursion when releasing memory needs some itself.
BOOST_AUTO_TEST_CASE(reservation_while_reclaiming_does_not_reclaim) {
    memory_budget budget{{.capacity_bytes = 10}};
    int calls = 0;
    budget.on_shortage([&](memory_use) {
        ++calls;
        return budget.try_reserve(20, memory_use::small);
    });
    BOOST_TEST(!budget.try_reserve(11, memory_use::small));
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(trim_follows_the_release_of_most_of_the_memory) {
    int trims = 0;
    memory_budget budget{{.capacity_bytes = 800, .trim = [&trims] {
                              ++trims;
                          }}};
    BOOST_TEST(budget.try_reserve(100, memory_use::small));
    budget.release(100);
    BOOST_TEST(trims == 0);
    BOOST_TEST(budget.try_reserve(400, memory_use::small));
    budget.release(300);
    BOOST_TEST(trims == 0);
    budget.release(1);
    BOOST_TEST(trims == 1);
    budget.release(99);
    BOOST_TEST(trims == 1);
}

// Guards against memory that stays reserved, or is released twice.
BOOST_AUTO_TEST_CASE(reservation_ends_with_its_owner) {
    const auto budget = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = 100});
    {
        memory_reservation first{budget};
        BOOST_TEST(first.resize(60, memory_use::small));
        BOOST_TEST(!first.resize(101, memory_use::small));
        BOOST_TEST(first.size() == 60U);
        memory_reservation second{std::move(first)};
        BOOST_TEST(budget->used() == 60U);
        BOOST_TEST(second.resize(10, memory_use::small));
        BOOST_TEST(budget->used() == 10U);
        memory_reservation third{budget};
        BOOST_TEST(third.resize(20, memory_use::small));
        third = std::move(second);
        BOOST_TEST(budget->used() == 10U);
    }
    BOOST_TEST(budget->used() == 0U);
    memory_reservation unlimited;
    BOOST_TEST(unlimited.resize(static_cast<std::size_t>(-1), memory_use::large));
}

BOOST_AUTO_TEST_SUITE_END()
