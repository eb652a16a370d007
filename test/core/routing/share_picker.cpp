#include "goldcrestwell/core/routing/share_picker.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>

using namespace goldcrestwell;

namespace {

const upstream_version baseline{"old"};
const upstream_version candidate{"new"};

std::vector<version_share> split(const std::uint32_t candidate_millionths) {
    return {{.version = baseline, .share = share{full_share.value() - candidate_millionths}},
            {.version = candidate, .share = share{candidate_millionths}}};
}

bool always_usable(const upstream_version& /*version*/) {
    return true;
}

/** @brief Gives rapidcheck the same seed in every run, so that results are reproducible. */
struct fixed_seed {
    fixed_seed() { ::setenv("RC_PARAMS", "seed=1", 0); } // NOLINT(concurrency-mt-unsafe)
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

BOOST_AUTO_TEST_SUITE(share_picker_suite)

// Guards against a candidate that gets more than its share plus one call in any window of consecutive calls.
BOOST_AUTO_TEST_CASE(calls_of_any_window_are_bounded_by_share_plus_one) {
    BOOST_TEST(rc::check([] {
        const auto candidate_millionths = *rc::gen::inRange<std::uint32_t>(0, full_share.value() / 2);
        share_picker picker{*rc::gen::arbitrary<std::uint64_t>()};
        std::vector<int> picked(300);
        for (auto& picked_candidate : picked) {
            picked_candidate = picker.pick(split(candidate_millionths), always_usable) == candidate ? 1 : 0;
        }
        const double candidate_share = candidate_millionths / static_cast<double>(full_share.value());
        for (std::size_t from = 0; from < picked.size(); ++from) {
            int count = 0;
            for (std::size_t to = from; to < picked.size(); ++to) {
                count += picked[to];
                RC_ASSERT(count <= candidate_share * static_cast<double>(to - from + 1) + 1.0 + 1e-9);
            }
        }
    }));
}

// Guards against a version that exceeds the bound while shares change between picks or drop to zero.
BOOST_AUTO_TEST_CASE(bound_holds_while_shares_change) {
    BOOST_TEST(rc::check([] {
        share_picker picker{*rc::gen::arbitrary<std::uint64_t>()};
        const auto candidate_shares =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1'000'001));
        std::map<upstream_version, double> earned;
        std::map<upstream_version, double> picked_calls;
        for (const auto candidate_millionths : candidate_shares) {
            const auto shares = split(candidate_millionths);
            for (const auto& item : shares) {
                earned[item.version] += item.share.value() / static_cast<double>(full_share.value());
            }
            const auto version = picker.pick(shares, always_usable);
            RC_ASSERT(version.has_value());
            picked_calls[*version] += 1;
            for (const auto& [name, count] : picked_calls) {
                RC_ASSERT(count <= earned[name] + 1.0 + 1e-9);
            }
        }
    }));
}

// Guards against a small candidate that takes over all calls when the baseline version has no upstream.
BOOST_AUTO_TEST_CASE(small_candidate_does_not_take_over) {
    share_picker picker{7};
    const auto only_candidate = [](const upstream_version& version) {
        return version == candidate;
    };
    std::size_t picked_count = 0;
    for (auto i = 0; i < 1'000; ++i) {
        picked_count += picker.pick(split(50'000), only_candidate).has_value() ? 1 : 0;
    }
    BOOST_TEST(picked_count <= 51U);
    BOOST_TEST(picked_count >= 49U);
}

// Guards against retries that give a candidate more calls than its share of the callers' calls.
BOOST_AUTO_TEST_CASE(retries_add_no_credit) {
    share_picker picker{3};
    std::size_t picked_count = 0;
    for (auto i = 0; i < 1'000; ++i) {
        picked_count += picker.pick(split(100'000), always_usable) == candidate ? 1 : 0;
        picked_count += picker.pick_retry(split(100'000), always_usable) == candidate ? 1 : 0;
    }
    BOOST_TEST(picked_count <= 101U);
}

// Guards against nodes that all send their first candidate call at the same time.
BOOST_AUTO_TEST_CASE(phase_differs_between_nodes) {
    std::size_t first_call_to_candidate = 0;
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        share_picker picker{seed};
        first_call_to_candidate += picker.pick(split(250'000), always_usable) == candidate ? 1 : 0;
    }
    BOOST_TEST(first_call_to_candidate > 150U);
    BOOST_TEST(first_call_to_candidate < 350U);
}

BOOST_AUTO_TEST_SUITE_END()
