#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_ANNOUNCEMENT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_ANNOUNCEMENT_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief Maximum time that an announcement is on its way. */
inline constexpr std::chrono::milliseconds max_announcement_delay{5'000};

/** @brief Heartbeat of an upstream. */
struct upstream_announcement {
    std::string id;
    service_name service;
    upstream_version version;
    /** @brief Data centre of the host of the upstream. */
    goldcrestwell::data_centre data_centre;
    node_id address;
    std::uint32_t slots{};
    bool leaving{};
    /** @brief Remaining time of the cold start. */
    std::chrono::milliseconds remaining_cold_start{};
    /** @brief Increases with each heartbeat after a start of the upstream. */
    std::uint64_t sequence{};
    /** @brief Start time of the upstream; distinguishes two starts with the same id. */
    wall_time started{};

    [[nodiscard]] friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

} // namespace goldcrestwell

#endif
