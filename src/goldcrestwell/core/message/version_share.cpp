#include "goldcrestwell/core/message/version_share.hpp"

#include <algorithm>

namespace goldcrestwell {

share share_of(const std::vector<version_share>& shares, const upstream_version& version) noexcept {
    const auto found = std::find_if(shares.begin(), shares.end(),
                                    [&version](const version_share& entry) { return entry.version == version; });
    return found == shares.end() ? share{} : found->share;
}

} // namespace goldcrestwell
