#ifndef GOLDCRESTWELL_CORE_CONFIG_DIGEST_HISTORY_HPP
#define GOLDCRESTWELL_CORE_CONFIG_DIGEST_HISTORY_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace goldcrestwell::internal {

/** @brief Digests of the state after recent changes, for the comparison with checkpoints of earlier states. */
class digest_history {
public:
    /** @brief Adds the digest of the state after the record at an offset; drops the oldest digest above the limit. */
    void add(log_offset offset, std::uint64_t digest);
    /** @brief Replaces all digests by the digest of the state at an offset. */
    void reset(log_offset offset, std::uint64_t digest);
    /** @return Digest of the state that covers an offset, or an empty optional if it is no longer kept. */
    [[nodiscard]] std::optional<std::uint64_t> at(log_offset offset) const noexcept;

private:
    struct entry {
        log_offset offset;
        std::uint64_t digest{};
    };

    std::deque<entry> entries_;
};

} // namespace goldcrestwell::internal

#endif
