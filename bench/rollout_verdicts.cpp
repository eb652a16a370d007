// Compares the sequential tests of the rollout engine, and its methods for a candidate that has all traffic, in seeded
// simulations of candidates with known faults.
//
// Usage: bench_rollout_verdicts [FIRST_SEED LAST_SEED [REVISION]]
//
// One engine decides alone, in simulated time. Reports on the baseline arrive one tick after those on the candidate,
// the worst case for reports that are sent once a second.

#include "goldcrestwell/core/message/latency_histogram.hpp"
#include "goldcrestwell/core/rollout/mixture_test.hpp"
#include "goldcrestwell/core/rollout/posterior_test.hpp"
#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/spending_test.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const upstream_version baseline_version{"1"};
const upstream_version candidate_version{"2"};
const route_name route{"/orders"};

struct traffic_profile {
    std::string name;
    double calls_per_second{};
    double base_failure_rate{};
    std::chrono::seconds rollout_duration{};
    thin_evidence_policy policy{};
    /** Weight of good versions that are rolled out in time; the rest is the weight of faulty versions rolled back. */
    double good_weight{};
};

/** Conditions under which a call runs. */
struct call_context {
    std::chrono::seconds since_start{};
    /** Time since the last stage was reached; negative before. */
    std::chrono::seconds since_last_stage{-1};
    share candidate_share;
};

struct fault_model {
    std::string name;
    bool faulty{};
    std::function<double(const call_context&)> extra_failure_rate;
    std::function<double(const call_context&)> slowdown;
    std::function<double(const call_context&)> common_failure_rate;
    double traffic_factor{1.0};
};

struct result {
    bool rolled_back{};
    bool in_time{};
    bool done{};
    std::uint64_t faulty_calls{};
};

/** A test and its settings for a candidate that has all traffic. */
struct decision_variant {
    std::string name;
    sequential_test test;
    std::uint8_t max_rechecks{};
    share recheck_share;
    share retained_share;
};

double none(const call_context&) {
    return 0.0;
}

fault_model failing(std::string name, const double rate, const std::function<bool(const call_context&)>& when) {
    return {.name = std::move(name),
            .faulty = true,
            .extra_failure_rate = [rate, when](const call_context& now) { return when(now) ? rate : 0.0; },
            .slowdown = none,
            .common_failure_rate = none};
}

fault_model slow(std::string name, const double factor) {
    return {.name = std::move(name),
            .faulty = true,
            .extra_failure_rate = none,
            .slowdown = [factor](const call_context&) { return factor - 1.0; },
            .common_failure_rate = none};
}

fault_model common(std::string name, const std::function<bool(const call_context&)>& when) {
    return {.name = std::move(name),
            .extra_failure_rate = none,
            .slowdown = none,
            .common_failure_rate = [when](const call_context& now) {
                return when(now) ? 0.2 : 0.0;
            }};
}

std::vector<fault_model> faults() {
    const auto always = [](const call_context&) {
        return true;
    };
    const auto burst = [](const call_context& now) {
        return now.since_start >= 100s && now.since_start < 160s;
    };
    const auto baking = [](const call_context& now) {
        return now.since_last_stage >= 10s && now.since_last_stage < 40s;
    };
    fault_model thin_good{
        .name = "good, thin", .extra_failure_rate = none, .slowdown = none, .common_failure_rate = none};
    thin_good.traffic_factor = 0.02;
    auto thin_faulty = failing("fails 20 %, thin", 0.2, always);
    thin_faulty.traffic_factor = 0.02;
    auto one_route = failing("one route of five, 20 %", 0.2, always);
    one_route.traffic_factor = 0.2;
    return {
        {.name = "good", .extra_failure_rate = none, .slowdown = none, .common_failure_rate = none},
        std::move(thin_good),
        common("good, common fault", burst),
        common("good, common while baking", baking),
        failing("fails 1 %", 0.01, always),
        failing("fails 5 %", 0.05, always),
        failing("fails 20 %", 0.2, always),
        failing("fails 100 %", 1.0, always),
        std::move(thin_faulty),
        std::move(one_route),
        slow("slow 1.3x", 1.3),
        slow("slow 2x", 2.0),
        slow("slow 5x", 5.0),
        failing("late, fails 20 %", 0.2, [](const call_context& now) { return now.since_start >= 150s; }),
        failing("while baking, 20 %", 0.2, [](const call_context& now) { return now.since_last_stage >= 5s; }),
        failing("under load, 20 %", 0.2, [](const call_context& now) { return now.candidate_share >= share{250'000}; }),
    };
}

/** One rollout of one route, decided by one engine. */
class simulation {
public:
    simulation(const traffic_profile& profile, const fault_model& fault, const decision_variant& variant,
               const std::uint64_t seed)
        : profile_{profile}, fault_{fault}, random_{seed}, engine_{options(variant, seed)} {}

    result run() {
        engine_.on_snapshot({.position = log_offset{1}, .plans = {plan()}, .recorded = {}}, now());
        const auto end = profile_.rollout_duration * 2;
        while (elapsed_ < end && !result_.rolled_back && !result_.done) {
            step();
        }
        return result_;
    }

private:
    rollout_engine_options options(const decision_variant& variant, const std::uint64_t seed) {
        return {.self = node_id{1},
                .seed = seed,
                .max_rechecks = variant.max_rechecks,
                .recheck_share = variant.recheck_share,
                .retained_share = variant.retained_share,
                .test = variant.test,
                .broadcast = [this](const rollout_update& update) { apply_state(update.state); },
                .send_evidence = [](node_id, const evidence_report&) {},
                .append_record = [](const rollout_record&) {},
                .service_nodes = [](const service_name&) { return std::vector<node_id>{node_id{1}}; },
                .has_upstream =
                    [](const service_name&, const upstream_version&) {
                        return true;
                    }};
    }

    [[nodiscard]] route_plan plan() const {
        const table_row row{.key = {.route = route, .version = candidate_version},
                            .row_version = log_offset{1},
                            .values = {.service = {"desk"},
                                       .weight = 1,
                                       .deadline = wall_time{} + profile_.rollout_duration,
                                       .on_thin_evidence = profile_.policy}};
        return {.route = route,
                .service = {"desk"},
                .base = {{.version = baseline_version, .share = full_share}},
                .target = {{.version = candidate_version, .share = full_share}},
                .rows = {row}};
    }

    [[nodiscard]] time_sample now() const { return {.steady = steady_time{elapsed_}, .wall = wall_time{elapsed_}}; }

    void apply_state(const rollout_state& state) {
        result_.rolled_back = state.rolled_back;
        result_.done = state.done;
        if (state.stage == last_stage && last_stage_since_ < 0s) {
            last_stage_since_ = elapsed_;
            result_.in_time = elapsed_ <= profile_.rollout_duration;
        }
    }

    void step() {
        elapsed_ += 1s;
        const auto late_report = std::exchange(baseline_, window(baseline_version));
        auto candidate = window(candidate_version);
        run_calls(candidate);
        engine_.on_evidence({.from = node_id{2}, .windows = {candidate}}, now());
        engine_.on_evidence({.from = node_id{3}, .windows = {late_report}}, now());
        if (const auto due = engine_.next_timer(); due && *due <= now().steady) {
            engine_.on_timer(now());
        }
    }

    void run_calls(evidence_window& candidate) {
        const auto candidate_share = share_of(engine_.shares(route), candidate_version);
        const call_context at{.since_start = elapsed_,
                              .since_last_stage = last_stage_since_ < 0s ? -1s : elapsed_ - last_stage_since_,
                              .candidate_share = candidate_share};
        const auto rate = profile_.calls_per_second * fault_.traffic_factor;
        const auto calls = std::poisson_distribution{rate}(random_);
        const auto fraction = static_cast<double>(candidate_share.value()) / full_share.value();
        for (int call = 0; call < calls; ++call) {
            const bool to_candidate = uniform() < fraction;
            run_call(to_candidate ? candidate : baseline_, to_candidate, at);
        }
    }

    void run_call(evidence_window& sums, const bool to_candidate, const call_context& at) {
        const auto extra = to_candidate ? fault_.extra_failure_rate(at) : 0.0;
        const auto slowdown = to_candidate ? fault_.slowdown(at) : 0.0;
        const bool failed = uniform() < profile_.base_failure_rate + fault_.common_failure_rate(at) + extra;
        const auto latency = std::lognormal_distribution{std::log(20'000.0), 0.5}(random_) * (1.0 + slowdown);
        ++sums.calls;
        sums.failures += failed ? 1U : 0U;
        if (!failed) {
            ++sums.latencies[latency_bucket(std::chrono::microseconds{std::llround(latency)})];
        }
        result_.faulty_calls += (failed && extra > 0.0) || slowdown > 0.0 ? 1U : 0U;
    }

    double uniform() { return std::uniform_real_distribution{}(random_); }

    static evidence_window window(const upstream_version& version) {
        return {.row = {.route = route, .version = version}};
    }

    traffic_profile profile_;
    fault_model fault_;
    std::mt19937_64 random_;
    rollout_engine engine_;
    std::chrono::seconds elapsed_{};
    std::chrono::seconds last_stage_since_{-1};
    evidence_window baseline_{window(baseline_version)};
    result result_;
};

struct summary {
    int runs{};
    int rolled_back{};
    int in_time{};
    std::uint64_t faulty_calls{};
};

struct score {
    double faulty_rolled_back{};
    double good_in_time{};
    double false_rollbacks{};
    int faulty_cases{};
    int good_cases{};
};

summary measure(const traffic_profile& profile, const fault_model& fault, const decision_variant& variant,
                const std::uint64_t first, const std::uint64_t last) {
    summary sum;
    for (auto seed = first; seed <= last; ++seed) {
        const auto run_result = simulation{profile, fault, variant, seed}.run();
        ++sum.runs;
        sum.rolled_back += run_result.rolled_back ? 1 : 0;
        sum.in_time += run_result.in_time && !run_result.rolled_back ? 1 : 0;
        sum.faulty_calls += run_result.faulty_calls;
    }
    return sum;
}

double percent(const int part, const int all) {
    return 100.0 * part / all;
}

void add(score& total, const fault_model& fault, const summary& sum) {
    if (fault.faulty) {
        ++total.faulty_cases;
        total.faulty_rolled_back += percent(sum.rolled_back, sum.runs);
        return;
    }
    ++total.good_cases;
    total.good_in_time += percent(sum.in_time, sum.runs);
    total.false_rollbacks += percent(sum.rolled_back, sum.runs);
}

void print_profile(const traffic_profile& profile, const decision_variant& variant, const std::uint64_t first,
                   const std::uint64_t last) {
    score total;
    for (const auto& fault : faults()) {
        const auto sum = measure(profile, fault, variant, first, last);
        add(total, fault, sum);
        std::printf("%-12s %-18s %-26s %10.1f %10.1f %12.1f\n", profile.name.c_str(), variant.name.c_str(),
                    fault.name.c_str(), percent(sum.rolled_back, sum.runs), percent(sum.in_time, sum.runs),
                    static_cast<double>(sum.faulty_calls) / sum.runs);
    }
    const auto faulty = total.faulty_rolled_back / total.faulty_cases;
    const auto good = total.good_in_time / total.good_cases;
    std::printf("%-12s %-18s TOTAL faulty rolled back %.1f %%, good in time %.1f %%, false rollbacks %.1f %%, "
                "weighted score %.1f\n",
                profile.name.c_str(), variant.name.c_str(), faulty, good, total.false_rollbacks / total.good_cases,
                profile.good_weight * good + (1.0 - profile.good_weight) * faulty);
}

} // namespace

int main(const int argc, const char* const* argv) {
    const auto first = argc > 2 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const auto last = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 40;
    double load = 0.0;
    if (getloadavg(&load, 1) != 1) {
        load = -1.0;
    }
    std::printf("seeds %llu to %llu, machine load %.2f, revision %s\n", static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(last), load, argc > 3 ? argv[3] : "unknown");
    std::printf("%-12s %-18s %-26s %10s %10s %12s\n", "profile", "test", "version", "rollback %", "in time %",
                "bad calls");
    const std::vector<traffic_profile> profiles{
        {"print works", 40.0, 0.002, 300s, thin_evidence_policy::proceed, 0.7},
        {"association", 10.0, 0.005, 600s, thin_evidence_policy::hold, 0.3},
    };
    const auto mixture = make_mixture_test(0.01);
    const std::vector<decision_variant> variants{
        {"history only", mixture, 0, {}, {}},
        {"recheck 10 %", mixture, 255, share{100'000}, {}},
        {"recheck 20 %", mixture, 255, share{200'000}, {}},
        {"recheck 50 %", mixture, 255, share{500'000}, {}},
        {"kept 1 %", mixture, 0, {}, share{10'000}},
        {"kept 5 %", mixture, 0, {}, share{50'000}},
        {"mixture 0.001", make_mixture_test(0.001), 0, {}, {}},
        {"mixture 0.0001", make_mixture_test(0.0001), 0, {}, {}},
        {"spending 0.001", make_spending_test(0.001), 0, {}, {}},
        {"spending 0.01", make_spending_test(0.01), 0, {}, {}},
        {"posterior 0.999", make_posterior_test(0.999), 0, {}, {}},
        {"posterior 0.9999", make_posterior_test(0.9999), 0, {}, {}},
    };
    for (const auto& profile : profiles) {
        for (const auto& variant : variants) {
            print_profile(profile, variant, first, last);
        }
    }
    return 0;
}
