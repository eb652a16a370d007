#include "goldcrestwell/cli/admin_client.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

/** @brief Longer than the time that a node waits for the verdict on an edit. */
constexpr std::chrono::milliseconds response_timeout{15'000};

} // namespace

std::optional<http_response> admin_client::get(const std::string& target) {
    return request("GET", target, {});
}

std::optional<http_response> admin_client::post(const std::string& target, std::string body) {
    return request("POST", target, std::move(body));
}

void admin_client::wait(const std::chrono::milliseconds duration) {
    timer wait_timer{loop_, [this](time_sample) {
                         loop_.stop();
                     }};
    wait_timer.schedule_after(duration);
    loop_.run();
}

std::optional<http_response> admin_client::request(std::string method, const std::string& target, std::string body) {
    http_connection connection{loop_, node_, max_log_response_bytes};
    std::optional<http_response> response;
    connection.send(
        {.method = std::move(method), .target = target, .body = std::move(body), .timeout = response_timeout},
        [this, &response](const upstream_result& result) {
            outcome_ = result.outcome;
            if (result.outcome == upstream_outcome::answered) {
                response = result.response;
            }
            loop_.stop();
        });
    loop_.run();
    return response;
}

} // namespace goldcrestwell
