#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATUS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATUS_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Phase of a rollout as shown to operators. */
enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

/** @brief State of a service's rollout as written to the store. */
struct rollout_status {
    service_name service;
    upstream_version target;
    rollout_phase phase{rollout_phase::running};

    [[nodiscard]] friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

} // namespace goldcrestwell

#endif
