#ifndef GOLDCRESTWELL_CORE_MESSAGE_VERSION_SHARE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_VERSION_SHARE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/share.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Share of a route's traffic for one upstream version. */
struct version_share {
    upstream_version version;
    goldcrestwell::share share;

    [[nodiscard]] friend bool operator==(const version_share&, const version_share&) = default;
};

/** @return Share of a version; zero if the version is not listed. */
[[nodiscard]] share share_of(const std::vector<version_share>& shares, const upstream_version& version) noexcept;

} // namespace goldcrestwell

#endif
