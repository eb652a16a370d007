#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_COLLECTOR_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_COLLECTOR_HPP

#include "goldcrestwell/core/message/checkpoint_part.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Puts the parts of checkpoints together; parts may be repeated, missing or mixed with those of others. */
class checkpoint_collector {
public:
    /** @return All parts if this one completes a checkpoint, otherwise nothing. */
    std::vector<checkpoint_part> add(checkpoint_part part);
    void clear() noexcept { incomplete_.clear(); }

private:
    // Checkpoints that may be incomplete at once; the oldest is given up, because its writer probably failed.
    static constexpr std::size_t max_incomplete = 4;

    using parts = std::map<std::uint32_t, checkpoint_part>;

    parts& parts_like(const checkpoint_part& part);
    std::vector<checkpoint_part> take(const parts& whole);

    std::deque<parts> incomplete_;
};

} // namespace goldcrestwell::internal

#endif
