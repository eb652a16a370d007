#ifndef GOLDCRESTWELL_CORE_ROUTING_SHARE_PICKER_HPP
#define GOLDCRESTWELL_CORE_ROUTING_SHARE_PICKER_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/version_share.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Distributes the calls of one route to its versions by share.
 *
 * Each version starts with a random credit below one call. Every pick adds its share to the credit, and every call that
 * it gets subtracts one. The version with the largest share gets the calls for which no other version has enough
 * credit. Every other version gets at most the sum of its shares plus one call, even if shares change between picks.
 */
class share_picker {
public:
    using usable_hook = std::function<bool(const upstream_version&)>;

    explicit share_picker(std::uint64_t seed) : random_{seed} {}

    /**
     * @brief Returns the version for a new call.
     * @param shares Shares in force; versions with share zero are never picked.
     * @param usable Checks whether a version has an upstream for the call.
     * @return Empty if no usable version can take the call without exceeding its share.
     */
    [[nodiscard]] std::optional<upstream_version> pick(const std::vector<version_share>& shares,
                                                       const usable_hook& usable);

    /** @brief Returns the version for a retry; adds no credit, because the call has already added it. */
    [[nodiscard]] std::optional<upstream_version> pick_retry(const std::vector<version_share>& shares,
                                                             const usable_hook& usable);

private:
    struct account {
        upstream_version version;
        std::int64_t share{};
        /** @brief Credit of the version in millionths of a call. */
        std::int64_t credit{};
        bool usable{};
    };

    void update_accounts(const std::vector<version_share>& shares);
    /** @brief Returns the usable version with the largest share, or null if that is too small to take over calls. */
    [[nodiscard]] account* find_fallback(const usable_hook& usable);
    [[nodiscard]] std::optional<upstream_version> choose(const usable_hook& usable);

    std::vector<account> accounts_;
    std::mt19937_64 random_;
};

} // namespace goldcrestwell

#endif
