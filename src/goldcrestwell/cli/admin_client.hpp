#ifndef GOLDCRESTWELL_CLI_ADMIN_CLIENT_HPP
#define GOLDCRESTWELL_CLI_ADMIN_CLIENT_HPP

#include "goldcrestwell/core/message/http_response.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Blocking HTTP client for the admin listener of a node. */
class admin_client {
public:
    explicit admin_client(endpoint node) : node_{std::move(node)} {}

    /** @return The response, or nothing if there was none; `last_outcome` then returns the reason. */
    [[nodiscard]] std::optional<http_response> get(const std::string& target);
    [[nodiscard]] std::optional<http_response> post(const std::string& target, std::string body);
    [[nodiscard]] upstream_outcome last_outcome() const noexcept { return outcome_; }

    /** @brief Blocks for the given time without using the processor. */
    void wait(std::chrono::milliseconds duration);

private:
    [[nodiscard]] std::optional<http_response> request(std::string method, const std::string& target, std::string body);

    endpoint node_;
    event_loop loop_;
    upstream_outcome outcome_{upstream_outcome::answered};
};

} // namespace goldcrestwell

#endif
