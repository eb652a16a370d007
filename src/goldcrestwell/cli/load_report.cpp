#include "goldcrestwell/cli/load_report.hpp"

#include "goldcrestwell/shell/call_mapping.hpp"
#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t first_error_status = 400;
constexpr int name_width = 36;
constexpr int number_digits = 12;
constexpr double microseconds_per_millisecond = 1000.0;

struct named_quantile {
    std::string_view name;
    double fraction;
};

constexpr std::array<named_quantile, 5> named_quantiles{
    {{"p50 ms", 0.5}, {"p90 ms", 0.9}, {"p99 ms", 0.99}, {"p99.9 ms", 0.999}, {"max ms", 1.0}}};

std::string_view name_of(const upstream_outcome outcome) {
    switch (outcome) {
    case upstream_outcome::answered:
        return "answered";
    case upstream_outcome::not_sent:
        return "not sent";
    case upstream_outcome::timed_out:
        return "timed out";
    case upstream_outcome::reset:
        return "reset";
    case upstream_outcome::truncated:
        return "truncated";
    case upstream_outcome::too_large:
        return "too large";
    case upstream_outcome::rejected:
        return "rejected";
    case upstream_outcome::invalid:
        return "invalid";
    case upstream_outcome::out_of_memory:
        return "out of memory";
    }
    return "other";
}

void write_line(std::ostream& output, const std::string& name, const std::uint64_t value) {
    output << std::left << std::setw(name_width) << name << value << '\n';
}

void write_line(std::ostream& output, const std::string& name, const double value) {
    output << std::left << std::setw(name_width) << name << std::fixed << std::setprecision(3) << value << '\n';
}

} // namespace

request_ids::request_ids(const std::uint64_t seed) : prefix_{"load-" + std::to_string(seed) + '-'} {}

std::string request_ids::id(const std::uint64_t number) const {
    std::ostringstream text;
    text << prefix_ << std::setw(number_digits) << std::setfill('0') << number;
    return text.str();
}

response_owner request_ids::owner(const http_response& response, const std::string_view expected) const {
    const auto header = find_header(response.headers, "x-request-id");
    const std::string_view searched_text = header.value_or(response.body);
    if (searched_text.find(expected) != std::string_view::npos) {
        return response_owner::own;
    }
    return searched_text.find(prefix_) != std::string_view::npos ? response_owner::foreign : response_owner::absent;
}

void load_report::add(const upstream_result& result, const std::chrono::microseconds latency) {
    ++calls_;
    if (result.outcome != upstream_outcome::answered) {
        add_error(std::string{name_of(result.outcome)});
        return;
    }
    const auto& headers = result.response.headers;
    if (const auto outcome = find_header(headers, outcome_header)) {
        if (*outcome == "not-run") {
            ++refused_not_run_[std::string{find_header(headers, reason_header).value_or("no reason")}];
        } else {
            ++unknown_outcomes_;
        }
        return;
    }
    if (result.response.status >= first_error_status) {
        add_error("status " + std::to_string(result.response.status));
        return;
    }
    latencies_.push_back(latency);
}

void load_report::add(const response_owner owner) {
    if (owner == response_owner::foreign) {
        ++foreign_responses_;
    } else if (owner == response_owner::absent) {
        ++unchecked_responses_;
    }
}

std::optional<std::chrono::microseconds> load_report::quantile(const double fraction) const {
    if (latencies_.empty()) {
        return std::nullopt;
    }
    auto sorted = latencies_;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

std::string load_report::table(const std::chrono::milliseconds duration) const {
    std::ostringstream output;
    write_line(output, "calls", calls_);
    write_line(output, "answered", answered());
    for (const auto& [reason, count] : refused_not_run_) {
        write_line(output, "refused not run: " + reason, count);
    }
    write_line(output, "unknown", unknown_outcomes_);
    for (const auto& [name, count] : errors_) {
        write_line(output, "error: " + name, count);
    }
    write_line(output, "answers of other requests", foreign_responses_);
    write_line(output, "answers without a request id", unchecked_responses_);
    write_line(output, "answered calls per second",
               static_cast<double>(answered()) / std::chrono::duration<double>{duration}.count());
    for (const auto& [name, fraction] : named_quantiles) {
        if (const auto latency = quantile(fraction)) {
            write_line(output, std::string{name}, static_cast<double>(latency->count()) / microseconds_per_millisecond);
        }
    }
    return output.str();
}

} // namespace goldcrestwell
