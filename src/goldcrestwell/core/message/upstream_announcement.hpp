#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_ANNOUNCEMENT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_ANNOUNCEMENT_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief What an upstream says of itself in one heartbeat. */
struct upstream_announcement {
    std::string id;
    service_name service;
    upstream_version version;
    node_id address;
    std::uint32_t slots{};
    bool leaving{};
    /** @brief How much longer the upstream stays slow after its start. */
    std::chrono::milliseconds cold_for{};
    /** @brief Grows with each heartbeat of one start. */
    std::uint64_t sequence{};
    /** @brief When the upstream started; tells apart two starts under one id. */
    wall_time started{};

    [[nodiscard]] friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

} // namespace goldcrestwell

#endif
