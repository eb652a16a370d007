#include "stand_in/upstream_faults.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestwell::test {

namespace {

constexpr std::uint64_t percent_range = 100;

} // namespace

void upstream_faults::set(const parameters& query, const time_point now) {
    fail_percent_ = number_or(query, "fail_percent", fail_percent_);
    hang_percent_ = number_or(query, "hang_percent", hang_percent_);
    truncate_percent_ = number_or(query, "truncate_percent", truncate_percent_);
    load_threshold_ = number_or(query, "load_threshold", load_threshold_);
    extra_work_ =
        std::chrono::milliseconds{number_or(query, "slow_ms", static_cast<std::uint64_t>(extra_work_.count()))};
    activation_delay_ =
        std::chrono::seconds{number_or(query, "after_s", static_cast<std::uint64_t>(activation_delay_.count()))};
    if (const auto found = query.find("only_route"); found != query.end()) {
        only_route_ = found->second;
    }
    set_at_ = now;
}

call_plan upstream_faults::plan(const std::string_view path, const std::uint64_t load, const time_point now) {
    if (now < set_at_ + activation_delay_ || load < load_threshold_ || !path.starts_with(only_route_)) {
        return {};
    }
    auto random_percent = std::uniform_int_distribution<std::uint64_t>{0, percent_range - 1}(engine_);
    if (random_percent < fail_percent_) {
        return {.ending = call_ending::fail, .extra = extra_work_};
    }
    random_percent -= fail_percent_;
    if (random_percent < hang_percent_) {
        return {.ending = call_ending::hang, .extra = {}};
    }
    random_percent -= hang_percent_;
    return {.ending = random_percent < truncate_percent_ ? call_ending::truncate : call_ending::answer,
            .extra = extra_work_};
}

std::string upstream_faults::to_json() const {
    return nlohmann::json{
        {"fail_percent", fail_percent_},     {"hang_percent", hang_percent_},  {"truncate_percent", truncate_percent_},
        {"load_threshold", load_threshold_}, {"slow_ms", extra_work_.count()}, {"after_s", activation_delay_.count()},
        {"only_route", only_route_}}
        .dump();
}

} // namespace goldcrestwell::test
