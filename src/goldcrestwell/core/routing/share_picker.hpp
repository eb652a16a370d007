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
 * @brief Spreads the calls of one route over its versions by share.
 *
 * Each version gathers credit equal to its share at every pick, from a random phase, and one call costs one whole
 * credit. The version with the largest share takes the calls that nobody else has credit for. Every other version
 * gets at most the sum of its shares plus one call, also when shares change between picks.
 */
class share_picker {
public:
    using usable_hook = std::function<bool(const upstream_version&)>;

    explicit share_picker(std::uint64_t seed) : random_{seed} {}

    /**
     * @brief Chooses the version of a new call.
     * @param shares Shares in force; versions with share zero are never picked.
     * @param usable Says whether a version has an upstream that may be tried.
     * @return Nothing if no usable version may take the call without exceeding its share.
     */
    [[nodiscard]] std::optional<upstream_version> pick(const std::vector<version_share>& shares,
                                                       const usable_hook& usable);

    /** @brief Chooses the version of a retry; earns no credit, because the call has earned it already. */
    [[nodiscard]] std::optional<upstream_version> pick_again(const std::vector<version_share>& shares,
                                                             const usable_hook& usable);

private:
    struct account {
        upstream_version version;
        std::int64_t share{};
        /** @brief Calls owed to the version, in millionths. */
        std::int64_t credit{};
        bool usable{};
    };

    void follow(const std::vector<version_share>& shares);
    /** @return The usable version with the largest share, if it is large enough to take over calls. */
    [[nodiscard]] account* largest(const usable_hook& usable);
    [[nodiscard]] std::optional<upstream_version> choose(const usable_hook& usable);

    std::vector<account> accounts_;
    std::mt19937_64 random_;
};

} // namespace goldcrestwell

#endif
