#ifndef GOLDCRESTWELL_CORE_CALL_ATTEMPT_HASH_HPP
#define GOLDCRESTWELL_CORE_CALL_ATTEMPT_HASH_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"

#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Hash of an attempt id for unordered containers. */
struct attempt_hash {
    [[nodiscard]] std::size_t operator()(const attempt_id& id) const noexcept {
        // Multiplying by odd constants distributes the sequence numbers of one origin over all bits.
        std::uint64_t value = id.sequence * 0x9E3779B97F4A7C15U;
        value ^= (id.origin.value() + (value >> 29U)) * 0xBF58476D1CE4E5B9U;
        value ^= (id.start_incarnation.value() + (value >> 31U)) * 0x94D049BB133111EBU;
        return static_cast<std::size_t>(value ^ (value >> 32U));
    }
};

} // namespace goldcrestwell

#endif
