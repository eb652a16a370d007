#include "stand_in/upstream_faults.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestwell::test {

namespace {

constexpr std::uint64_t all_percent = 100;

} // namespace

void upstream_faults::set(const parameters& query, const time_point now) {
    fail_percent_ = number_or(query, "fail_percent", fail_percent_);
    hang_percent_ = number_or(query, "hang_percent", hang_percent_);
    truncate_percent_ = number_or(query, "truncate_percent", truncate_percent_);
    load_threshold_ = number_or(query, "load_threshold", load_threshold_);
    slow_ = std::chrono::milliseconds{number_or(query, "slow_ms", static_cast<std::uint64_t>(slow_.count()))};
    after_ = std::chrono::seconds{number_or(query, "after_s", static_cast<std::uint64_t>(after_.count()))};
    if (const auto found = query.find("only_route"); found != query.end()) {
        only_route_ = found->second;
    }
    set_at_ = now;
}

call_plan upstream_faults::plan(const std::string_view path, const std::uint64_t load, const time_point now) {
    if (now < set_at_ + after_ || load < load_threshold_ || !path.starts_with(only_route_)) {
        return {};
    }
    auto drawn = std::uniform_int_distribution<std::uint64_t>{0, all_percent - 1}(engine_);
    if (drawn < fail_percent_) {
        return {.ending = call_ending::fail, .extra = slow_};
    }
    drawn -= fail_percent_;
    if (drawn < hang_percent_) {
        return {.ending = call_ending::hang, .extra = {}};
    }
    drawn -= hang_percent_;
    return {.ending = drawn < truncate_percent_ ? call_ending::truncate : call_ending::answer, .extra = slow_};
}

std::string upstream_faults::shown() const {
    return nlohmann::json{
        {"fail_percent", fail_percent_},     {"hang_percent", hang_percent_}, {"truncate_percent", truncate_percent_},
        {"load_threshold", load_threshold_}, {"slow_ms", slow_.count()},      {"after_s", after_.count()},
        {"only_route", only_route_}}
        .dump();
}

} // namespace goldcrestwell::test
