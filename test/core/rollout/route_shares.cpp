#include "goldcrestwell/core/rollout/route_shares.hpp"

#include "goldcrestwell/core/rollout/stage.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <numeric>
#include <string>

using namespace goldcrestwell;

namespace {

std::vector<version_share> normalised(const std::vector<std::uint32_t>& weights) {
    const auto sum = std::accumulate(weights.begin(), weights.end(), std::uint64_t{});
    std::vector<version_share> shares;
    std::uint32_t remaining = full_share.value();
    for (std::size_t index = 0; index < weights.size() && sum > 0; ++index) {
        const bool last = index + 1 == weights.size();
        const auto value =
            last ? remaining : static_cast<std::uint32_t>(weights[index] * std::uint64_t{1'000'000} / sum);
        remaining -= value;
        shares.push_back({.version = {std::to_string(index)}, .share = share{value}});
    }
    return shares;
}

std::uint32_t sum_of(const std::vector<version_share>& shares) {
    return std::accumulate(shares.begin(), shares.end(), 0U, [](const std::uint32_t sum, const version_share& entry) {
        return sum + entry.share.value();
    });
}

route_plan plan_of(const std::vector<std::uint32_t>& base, const std::vector<std::uint32_t>& target) {
    return {.route = {"/"}, .service = {"desk"}, .base = normalised(base), .target = normalised(target), .rows = {}};
}

std::vector<std::uint32_t> weights() {
    return *rc::gen::suchThat(rc::gen::container<std::vector<std::uint32_t>>(4, rc::gen::inRange(0U, 1001U)),
                              [](const auto& values) { return values[3] > 0; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(shares_in_force)

// Guards against a candidate above the share of its stage, lost traffic, and traffic to a version without an upstream.
BOOST_AUTO_TEST_CASE(candidates_stay_below_their_stage) {
    BOOST_TEST(rc::check("bounded", [] {
        const auto plan = plan_of(weights(), weights());
        const auto stages = *rc::gen::container<std::vector<std::uint8_t>>(4, rc::gen::inRange<std::uint8_t>(0, 6));
        const auto alive = *rc::gen::container<std::vector<bool>>(4, rc::gen::arbitrary<bool>());
        const auto index = [](const upstream_version& version) {
            return static_cast<std::size_t>(std::stoi(version.value));
        };
        const share_inputs inputs{
            .progress = [&](const upstream_version& version) { return stage_progress(stages[index(version)]); },
            .has_upstream =
                [&](const upstream_version& version) {
                    return alive[index(version)];
                }};
        const auto shares = route_shares(plan, inputs);
        RC_ASSERT(sum_of(shares) == full_share.value());
        for (const auto& entry : shares) {
            if (is_candidate(plan, entry.version)) {
                const auto progress = inputs.has_upstream(entry.version) ? inputs.progress(entry.version) : share{};
                RC_ASSERT(entry.share <= candidate_limit(plan, entry.version, progress));
            }
        }
    }));
}

// Guards against a baseline that loses traffic before the candidate has an upstream.
BOOST_AUTO_TEST_CASE(baseline_keeps_traffic_until_the_candidate_has_an_upstream) {
    const auto plan = plan_of({1, 0}, {0, 1});
    const share_inputs inputs{.progress = [](const upstream_version&) { return full_share; },
                              .has_upstream =
                                  [](const upstream_version& version) {
                                      return version.value == "0";
                                  }};
    const auto shares = route_shares(plan, inputs);
    BOOST_TEST((share_of(shares, {"0"}) == full_share));
    BOOST_TEST((share_of(shares, {"1"}) == share{}));
}

// Guards against a candidate that was rolled back and blocks another one, or raises the share of the other one.
BOOST_AUTO_TEST_CASE(candidates_get_the_shares_of_their_own_stages) {
    const auto plan = plan_of({1, 0, 0}, {0, 1, 1});
    std::map<std::string, std::uint8_t> stages{{"1", std::uint8_t{0}}, {"2", std::uint8_t{5}}};
    const share_inputs inputs{
        .progress = [&](const upstream_version& version) { return stage_progress(stages[version.value]); },
        .has_upstream =
            [](const upstream_version&) {
                return true;
            }};
    const auto shares = route_shares(plan, inputs);
    BOOST_TEST((share_of(shares, {"0"}) == share{500'000}));
    BOOST_TEST((share_of(shares, {"1"}) == share{}));
    BOOST_TEST((share_of(shares, {"2"}) == share{500'000}));
}

// Guards against a removed version that keeps a share at the end of the rollout.
BOOST_AUTO_TEST_CASE(removed_version_has_no_traffic_at_the_end) {
    const auto plan = plan_of({1, 1}, {1});
    const share_inputs inputs{.progress = [](const upstream_version&) { return full_share; },
                              .has_upstream =
                                  [](const upstream_version&) {
                                      return true;
                                  }};
    const auto shares = route_shares(plan, inputs);
    BOOST_TEST(shares.size() == 1U);
    BOOST_TEST((share_of(shares, {"0"}) == full_share));
}

BOOST_AUTO_TEST_SUITE_END()
