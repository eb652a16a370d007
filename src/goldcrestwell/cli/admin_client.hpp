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

/** @brief Talks to the admin listener of a node, one request after another. */
class admin_client {
public:
    explicit admin_client(endpoint node) : node_{std::move(node)} {}

    /** @return The answer, or nothing if there was none; then `last_reason` tells what happened. */
    [[nodiscard]] std::optional<http_response> get(const std::string& target);
    [[nodiscard]] std::optional<http_response> post(const std::string& target, std::string body);
    [[nodiscard]] upstream_outcome last_reason() const noexcept { return outcome_; }

    /** @brief Waits without using the processor. */
    void wait(std::chrono::milliseconds time);

private:
    [[nodiscard]] std::optional<http_response> request(std::string method, const std::string& target, std::string body);

    endpoint node_;
    event_loop loop_;
    upstream_outcome outcome_{upstream_outcome::answered};
};

} // namespace goldcrestwell

#endif
