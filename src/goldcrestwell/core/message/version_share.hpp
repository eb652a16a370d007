#ifndef GOLDCRESTWELL_CORE_MESSAGE_VERSION_SHARE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_VERSION_SHARE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/share.hpp"

namespace goldcrestwell {

/** @brief Share of a route's traffic for one upstream version. */
struct version_share {
    upstream_version version;
    goldcrestwell::share share;

    [[nodiscard]] friend bool operator==(const version_share&, const version_share&) = default;
};

} // namespace goldcrestwell

#endif
