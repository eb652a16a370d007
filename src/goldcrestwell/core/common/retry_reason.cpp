#include "goldcrestwell/core/common/retry_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, retry_reason_count> names{"not_run_elsewhere",    "peer_unreachable",
                                                                 "never_seen",           "idempotent_upstream_failure",
                                                                 "idempotent_peer_lost", "idempotent_timeout"};

} // namespace

std::string_view to_string(const retry_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
