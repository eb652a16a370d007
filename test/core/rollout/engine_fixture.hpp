#ifndef GOLDCRESTWELL_TEST_CORE_ROLLOUT_ENGINE_FIXTURE_HPP
#define GOLDCRESTWELL_TEST_CORE_ROLLOUT_ENGINE_FIXTURE_HPP

#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace goldcrestwell::test {

inline const upstream_version baseline_version{"1"};
inline const upstream_version candidate_version{"2"};

/** Returns a plan that moves all traffic of a route from the baseline to the candidate. */
inline route_plan make_rollout_plan(const route_name& route, const log_offset row_version, const wall_time edited_at,
                                    const std::chrono::milliseconds duration, const thin_evidence_policy policy) {
    const row_values values{.service = {"desk"}, .deadline = edited_at + duration, .on_thin_evidence = policy};
    table_row baseline_row{
        .key = {.route = route, .version = baseline_version}, .row_version = log_offset{1}, .values = values};
    table_row candidate_row{.key = {.route = route, .version = candidate_version},
                            .row_version = row_version,
                            .changed_at = edited_at,
                            .values = values};
    candidate_row.values.weight = 1;
    return {.route = route,
            .service = {"desk"},
            .base = {{.version = baseline_version, .share = full_share}},
            .target = {{.version = candidate_version, .share = full_share}},
            .rows = {baseline_row, candidate_row}};
}

/** One engine with hooks that record their arguments; time advances in steps of one second. */
struct engine_fixture {
    engine_fixture()
        : monitor{[](invariant_id) {
              BOOST_ERROR("invariant violated");
          }},
          engine{options()} {}

    rollout_engine_options options() {
        return {.self = node_id{1},
                .seed = 1,
                .broadcast = [this](const rollout_update& update) { broadcasts.push_back(update); },
                .send_evidence = [this](const node_id to, const evidence_report&) { evidence_receivers.insert(to); },
                .append_record = [this](const rollout_record& record) { records.push_back(record); },
                .service_nodes = [this](const service_name&) { return nodes; },
                .has_upstream = [this](const service_name&,
                                       const upstream_version& version) { return live_versions.contains(version); },
                .invariants = &monitor};
    }

    void start(const thin_evidence_policy policy, const std::chrono::milliseconds duration = std::chrono::minutes{2}) {
        engine.on_snapshot({.position = log_offset{5},
                            .plans = {make_rollout_plan(route, log_offset{5}, now.wall, duration, policy)},
                            .recorded = {}},
                           now);
    }

    /** Advances the time; every second both versions get calls, some of which fail. */
    void run(const std::chrono::seconds time, const std::uint32_t calls, const std::uint32_t candidate_failures,
             const std::uint32_t baseline_failures = 0) {
        for (auto second = std::chrono::seconds{0}; second < time; ++second) {
            now.steady += std::chrono::seconds{1};
            now.wall += std::chrono::seconds{1};
            report(candidate_version, candidate_share() > share{} ? calls : 0, candidate_failures);
            report(baseline_version, calls, baseline_failures);
            tick();
        }
    }

    void tick() {
        if (const auto due = engine.next_timer(); due && *due <= now.steady) {
            engine.on_timer(now);
        }
    }

    void report(const upstream_version& version, const std::uint32_t calls, const std::uint32_t failures) {
        evidence_window window{
            .row = {.route = route, .version = version}, .calls = calls, .failures = std::min(calls, failures)};
        window.latencies[10] = calls - window.failures;
        engine.on_evidence({.from = node_id{9}, .windows = {window}}, now);
    }

    [[nodiscard]] share candidate_share() const { return share_of(engine.shares(route), candidate_version); }
    [[nodiscard]] row_status status(const std::size_t row = 1) const { return engine.statuses(now.wall)[row]; }

    route_name route{"/orders"};
    std::vector<node_id> nodes{node_id{1}};
    std::set<upstream_version> live_versions{baseline_version, candidate_version};
    std::vector<rollout_update> broadcasts;
    std::set<node_id> evidence_receivers;
    std::vector<rollout_record> records;
    time_sample now{.steady = steady_time{std::chrono::hours{1}}, .wall = wall_time{std::chrono::hours{500}}};
    invariant_monitor monitor;
    rollout_engine engine;
};

} // namespace goldcrestwell::test

#endif
