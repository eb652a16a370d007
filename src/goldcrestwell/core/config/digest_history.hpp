#ifndef GOLDCRESTWELL_CORE_CONFIG_DIGEST_HISTORY_HPP
#define GOLDCRESTWELL_CORE_CONFIG_DIGEST_HISTORY_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace goldcrestwell::internal {

/** @brief Digests of the state after recent changes, to compare with a checkpoint of an earlier state. */
class digest_history {
public:
    /** @brief Notes the digest of the state after the record at an offset. */
    void add(log_offset at, std::uint64_t digest);
    /** @brief Forgets everything; the state at an offset is known from here on. */
    void reset(log_offset at, std::uint64_t digest);
    /** @return Digest of the state that covers an offset, or nothing if that is no longer known. */
    [[nodiscard]] std::optional<std::uint64_t> at(log_offset offset) const noexcept;

private:
    struct entry {
        log_offset at;
        std::uint64_t digest{};
    };

    std::deque<entry> entries_;
};

} // namespace goldcrestwell::internal

#endif
