// Compares the sequential tests of the rollout engine, and its ways to judge a version that has all traffic, over
// seeded versions with known faults.
//
// Usage: bench_rollout_verdicts [FIRST_SEED LAST_SEED [REVISION]]
//
// One engine decides alone, in virtual time. Reports of the old version arrive one tick after those of the candidate,
// the worst case of reports that are sent once a second.

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

const upstream_version old_version{"1"};
const upstream_version new_version{"2"};
const route_name judged_route{"/orders"};

struct profile {
    std::string name;
    double calls_per_second{};
    double base_failures{};
    std::chrono::seconds move_duration{};
    thin_evidence_policy policy{};
    /** Weight of good versions moved in time; the rest weighs bad versions taken back. */
    double timely_weight{};
};

/** What the simulation knows about the moment of a call. */
struct moment {
    std::chrono::seconds since_start{};
    /** Time at the last stage; negative before it. */
    std::chrono::seconds since_full{-1};
    share in_force;
};

struct fault {
    std::string name;
    bool bad{};
    std::function<double(const moment&)> extra_failures;
    std::function<double(const moment&)> slowdown;
    std::function<double(const moment&)> common_failures;
    double traffic_factor{1.0};
};

struct result {
    bool rolled_back{};
    bool in_time{};
    bool done{};
    std::uint64_t bad_calls{};
};

/** A test and what happens while the candidate has all traffic. */
struct variant {
    std::string name;
    sequential_test test;
    std::uint8_t maximum_rechecks{};
    share recheck_share;
    share kept_share;
};

double none(const moment&) {
    return 0.0;
}

fault failing(std::string name, const double rate, const std::function<bool(const moment&)>& when) {
    return {.name = std::move(name),
            .bad = true,
            .extra_failures = [rate, when](const moment& now) { return when(now) ? rate : 0.0; },
            .slowdown = none,
            .common_failures = none};
}

fault slow(std::string name, const double factor) {
    return {.name = std::move(name),
            .bad = true,
            .extra_failures = none,
            .slowdown = [factor](const moment&) { return factor - 1.0; },
            .common_failures = none};
}

fault common(std::string name, const std::function<bool(const moment&)>& when) {
    return {.name = std::move(name),
            .extra_failures = none,
            .slowdown = none,
            .common_failures = [when](const moment& now) {
                return when(now) ? 0.2 : 0.0;
            }};
}

std::vector<fault> faults() {
    const auto always = [](const moment&) {
        return true;
    };
    const auto burst = [](const moment& now) {
        return now.since_start >= 100s && now.since_start < 160s;
    };
    const auto baking = [](const moment& now) {
        return now.since_full >= 10s && now.since_full < 40s;
    };
    fault thin{.name = "good, thin", .extra_failures = none, .slowdown = none, .common_failures = none};
    thin.traffic_factor = 0.02;
    auto thin_bad = failing("fails 20 %, thin", 0.2, always);
    thin_bad.traffic_factor = 0.02;
    auto one_route = failing("one route of five, 20 %", 0.2, always);
    one_route.traffic_factor = 0.2;
    return {
        {.name = "good", .extra_failures = none, .slowdown = none, .common_failures = none},
        std::move(thin),
        common("good, common fault", burst),
        common("good, common while baking", baking),
        failing("fails 1 %", 0.01, always),
        failing("fails 5 %", 0.05, always),
        failing("fails 20 %", 0.2, always),
        failing("fails 100 %", 1.0, always),
        std::move(thin_bad),
        std::move(one_route),
        slow("slow 1.3x", 1.3),
        slow("slow 2x", 2.0),
        slow("slow 5x", 5.0),
        failing("late, fails 20 %", 0.2, [](const moment& now) { return now.since_start >= 150s; }),
        failing("while baking, 20 %", 0.2, [](const moment& now) { return now.since_full >= 5s; }),
        failing("under load, 20 %", 0.2, [](const moment& now) { return now.in_force >= share{250'000}; }),
    };
}

/** One move of one route, decided by one engine. */
class simulation {
public:
    simulation(const profile& users, const fault& cause, const variant& judge, const std::uint64_t seed)
        : users_{users}, cause_{cause}, random_{seed}, engine_{options(judge, seed)} {}

    result run() {
        engine_.on_plans({.position = log_offset{1}, .plans = {plan()}, .recorded = {}}, now());
        const auto end = users_.move_duration * 2;
        while (elapsed_ < end && !outcome_.rolled_back && !outcome_.done) {
            step();
        }
        return outcome_;
    }

private:
    rollout_engine_options options(const variant& judge, const std::uint64_t seed) {
        return {.self = node_id{1},
                .seed = seed,
                .maximum_rechecks = judge.maximum_rechecks,
                .recheck_share = judge.recheck_share,
                .kept_share = judge.kept_share,
                .test = judge.test,
                .broadcast = [this](const rollout_update& update) { on_state(update.state); },
                .send_evidence = [](node_id, const evidence_report&) {},
                .append_fact = [](const rollout_record&) {},
                .service_nodes = [](const service_name&) { return std::vector<node_id>{node_id{1}}; },
                .has_upstream =
                    [](const service_name&, const upstream_version&) {
                        return true;
                    }};
    }

    [[nodiscard]] route_plan plan() const {
        const table_row row{.key = {.route = judged_route, .version = new_version},
                            .row_version = log_offset{1},
                            .values = {.service = {"desk"},
                                       .weight = 1,
                                       .deadline = wall_time{} + users_.move_duration,
                                       .on_thin_evidence = users_.policy}};
        return {.route = judged_route,
                .service = {"desk"},
                .base = {{.version = old_version, .share = full_share}},
                .target = {{.version = new_version, .share = full_share}},
                .rows = {row}};
    }

    [[nodiscard]] time_sample now() const { return {.steady = steady_time{elapsed_}, .wall = wall_time{elapsed_}}; }

    void on_state(const rollout_state& state) {
        outcome_.rolled_back = state.rolled_back;
        outcome_.done = state.done;
        if (state.stage == last_stage && full_since_ < 0s) {
            full_since_ = elapsed_;
            outcome_.in_time = elapsed_ <= users_.move_duration;
        }
    }

    void step() {
        elapsed_ += 1s;
        const auto late_report = std::exchange(baseline_, window(old_version));
        auto candidate = window(new_version);
        run_calls(candidate);
        engine_.on_evidence({.from = node_id{2}, .windows = {candidate}}, now());
        engine_.on_evidence({.from = node_id{3}, .windows = {late_report}}, now());
        if (const auto due = engine_.next_timer(); due && *due <= now().steady) {
            engine_.on_timer(now());
        }
    }

    void run_calls(evidence_window& candidate) {
        const auto in_force = share_of(engine_.shares(judged_route), new_version);
        const moment at{.since_start = elapsed_,
                        .since_full = full_since_ < 0s ? -1s : elapsed_ - full_since_,
                        .in_force = in_force};
        const auto rate = users_.calls_per_second * cause_.traffic_factor;
        const auto calls = std::poisson_distribution{rate}(random_);
        const auto fraction = static_cast<double>(in_force.value()) / full_share.value();
        for (int call = 0; call < calls; ++call) {
            const bool to_candidate = uniform() < fraction;
            run_call(to_candidate ? candidate : baseline_, to_candidate, at);
        }
    }

    void run_call(evidence_window& sums, const bool to_candidate, const moment& at) {
        const auto extra = to_candidate ? cause_.extra_failures(at) : 0.0;
        const auto slowdown = to_candidate ? cause_.slowdown(at) : 0.0;
        const bool failed = uniform() < users_.base_failures + cause_.common_failures(at) + extra;
        const auto latency = std::lognormal_distribution{std::log(20'000.0), 0.5}(random_) * (1.0 + slowdown);
        ++sums.calls;
        sums.failures += failed ? 1U : 0U;
        if (!failed) {
            ++sums.latencies[latency_bucket(std::chrono::microseconds{std::llround(latency)})];
        }
        outcome_.bad_calls += (failed && extra > 0.0) || slowdown > 0.0 ? 1U : 0U;
    }

    double uniform() { return std::uniform_real_distribution{}(random_); }

    static evidence_window window(const upstream_version& version) {
        return {.row = {.route = judged_route, .version = version}};
    }

    profile users_;
    fault cause_;
    std::mt19937_64 random_;
    rollout_engine engine_;
    std::chrono::seconds elapsed_{};
    std::chrono::seconds full_since_{-1};
    evidence_window baseline_{window(old_version)};
    result outcome_;
};

struct summary {
    int runs{};
    int rolled_back{};
    int in_time{};
    std::uint64_t bad_calls{};
};

struct score {
    double bad_taken_back{};
    double good_in_time{};
    double false_take_backs{};
    int bad_cases{};
    int good_cases{};
};

summary measure(const profile& users, const fault& cause, const variant& judge, const std::uint64_t first,
                const std::uint64_t last) {
    summary sum;
    for (auto seed = first; seed <= last; ++seed) {
        const auto one = simulation{users, cause, judge, seed}.run();
        ++sum.runs;
        sum.rolled_back += one.rolled_back ? 1 : 0;
        sum.in_time += one.in_time && !one.rolled_back ? 1 : 0;
        sum.bad_calls += one.bad_calls;
    }
    return sum;
}

double percent(const int part, const int all) {
    return 100.0 * part / all;
}

void add(score& total, const fault& cause, const summary& sum) {
    if (cause.bad) {
        ++total.bad_cases;
        total.bad_taken_back += percent(sum.rolled_back, sum.runs);
        return;
    }
    ++total.good_cases;
    total.good_in_time += percent(sum.in_time, sum.runs);
    total.false_take_backs += percent(sum.rolled_back, sum.runs);
}

void print_profile(const profile& users, const variant& judge, const std::uint64_t first, const std::uint64_t last) {
    score total;
    for (const auto& cause : faults()) {
        const auto sum = measure(users, cause, judge, first, last);
        add(total, cause, sum);
        std::printf("%-12s %-18s %-26s %10.1f %10.1f %12.1f\n", users.name.c_str(), judge.name.c_str(),
                    cause.name.c_str(), percent(sum.rolled_back, sum.runs), percent(sum.in_time, sum.runs),
                    static_cast<double>(sum.bad_calls) / sum.runs);
    }
    const auto bad = total.bad_taken_back / total.bad_cases;
    const auto good = total.good_in_time / total.good_cases;
    std::printf("%-12s %-18s TOTAL bad taken back %.1f %%, good in time %.1f %%, false take-backs %.1f %%, "
                "weighed score %.1f\n",
                users.name.c_str(), judge.name.c_str(), bad, good, total.false_take_backs / total.good_cases,
                users.timely_weight * good + (1.0 - users.timely_weight) * bad);
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
    std::printf("%-12s %-18s %-26s %10s %10s %12s\n", "profile", "test", "version", "back %", "in time %", "bad calls");
    const std::vector<profile> profiles{
        {"print works", 40.0, 0.002, 300s, thin_evidence_policy::proceed, 0.7},
        {"association", 10.0, 0.005, 600s, thin_evidence_policy::hold, 0.3},
    };
    const auto mixture = make_mixture_test(0.01);
    const std::vector<variant> variants{
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
    for (const auto& users : profiles) {
        for (const auto& judge : variants) {
            print_profile(users, judge, first, last);
        }
    }
    return 0;
}
