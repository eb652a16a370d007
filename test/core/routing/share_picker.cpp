#include "goldcrestwell/core/routing/share_picker.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>

using namespace goldcrestwell;

namespace {

const upstream_version old_version{"old"};
const upstream_version candidate{"new"};

std::vector<version_share> split(const std::uint32_t part) {
    return {{.version = old_version, .share = share{full_share.value() - part}},
            {.version = candidate, .share = share{part}}};
}

bool any(const upstream_version& /*version*/) {
    return true;
}

/** @brief Gives rapidcheck the same seed in every run, so that the verdict does not change between runs. */
struct fixed_seed {
    fixed_seed() { ::setenv("RC_PARAMS", "seed=1", 0); } // NOLINT(concurrency-mt-unsafe)
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

BOOST_AUTO_TEST_SUITE(share_picker_suite)

// Guards against a candidate that gets more than its share plus one call in any window of calls.
BOOST_AUTO_TEST_CASE(no_window_exceeds_share_plus_one) {
    BOOST_TEST(rc::check([] {
        const auto part = *rc::gen::inRange<std::uint32_t>(0, full_share.value() / 2);
        share_picker picker{*rc::gen::arbitrary<std::uint64_t>()};
        std::vector<int> picked(300);
        for (auto& hit : picked) {
            hit = picker.pick(split(part), any) == candidate ? 1 : 0;
        }
        const double per_call = part / static_cast<double>(full_share.value());
        for (std::size_t from = 0; from < picked.size(); ++from) {
            int count = 0;
            for (std::size_t to = from; to < picked.size(); ++to) {
                count += picked[to];
                RC_ASSERT(count <= per_call * static_cast<double>(to - from + 1) + 1.0 + 1e-9);
            }
        }
    }));
}

// Guards against an excess that appears only while shares change between picks or versions come and go.
BOOST_AUTO_TEST_CASE(bound_holds_while_shares_change) {
    BOOST_TEST(rc::check([] {
        share_picker picker{*rc::gen::arbitrary<std::uint64_t>()};
        const auto parts =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1'000'001));
        std::map<upstream_version, double> due;
        std::map<upstream_version, double> got;
        for (const auto part : parts) {
            const auto shares = split(part);
            for (const auto& item : shares) {
                due[item.version] += item.share.value() / static_cast<double>(full_share.value());
            }
            const auto version = picker.pick(shares, any);
            RC_ASSERT(version.has_value());
            got[*version] += 1;
            for (const auto& [name, count] : got) {
                RC_ASSERT(count <= due[name] + 1.0 + 1e-9);
            }
        }
    }));
}

// Guards against a small candidate that takes over all calls when the old version has no upstream.
BOOST_AUTO_TEST_CASE(small_candidate_does_not_take_over) {
    share_picker picker{7};
    const auto only_candidate = [](const upstream_version& version) {
        return version == candidate;
    };
    std::size_t taken = 0;
    for (auto i = 0; i < 1'000; ++i) {
        taken += picker.pick(split(50'000), only_candidate).has_value() ? 1 : 0;
    }
    BOOST_TEST(taken <= 51U);
    BOOST_TEST(taken >= 49U);
}

// Guards against retries that earn a candidate more calls than its share of the callers' calls.
BOOST_AUTO_TEST_CASE(retries_earn_no_share) {
    share_picker picker{3};
    std::size_t taken = 0;
    for (auto i = 0; i < 1'000; ++i) {
        taken += picker.pick(split(100'000), any) == candidate ? 1 : 0;
        taken += picker.pick_again(split(100'000), any) == candidate ? 1 : 0;
    }
    BOOST_TEST(taken <= 101U);
}

// Guards against nodes whose first candidate calls all come at the same time.
BOOST_AUTO_TEST_CASE(phase_differs_between_nodes) {
    std::size_t first_call_to_candidate = 0;
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        share_picker picker{seed};
        first_call_to_candidate += picker.pick(split(250'000), any) == candidate ? 1 : 0;
    }
    BOOST_TEST(first_call_to_candidate > 150U);
    BOOST_TEST(first_call_to_candidate < 350U);
}

BOOST_AUTO_TEST_SUITE_END()
