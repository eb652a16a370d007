#ifndef GOLDCRESTWELL_CORE_MESSAGE_CONFIG_PULL_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CONFIG_PULL_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

namespace goldcrestwell {

/** @brief Requests the log records after an offset from a peer. */
struct config_pull {
    log_offset after;

    [[nodiscard]] friend bool operator==(const config_pull&, const config_pull&) = default;
};

} // namespace goldcrestwell

#endif
