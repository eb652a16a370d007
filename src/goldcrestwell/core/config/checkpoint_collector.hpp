#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_COLLECTOR_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_COLLECTOR_HPP

#include "goldcrestwell/core/message/checkpoint_part.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Assembles checkpoints from parts, which may be repeated, missing or mixed with those of other checkpoints. */
class checkpoint_collector {
public:
    /**
     * @brief Adds a part of a checkpoint.
     * @return All parts of the checkpoint if this one completes it, an empty vector otherwise.
     */
    std::vector<checkpoint_part> add(checkpoint_part part);
    void clear() noexcept { incomplete_.clear(); }

private:
    // Above this number the oldest incomplete checkpoint is dropped, because its writer probably failed.
    static constexpr std::size_t max_incomplete_checkpoints = 4;

    using part_map = std::map<std::uint32_t, checkpoint_part>;

    part_map& find_matching_parts(const checkpoint_part& part);
    std::vector<checkpoint_part> take_complete(const part_map& complete);

    std::deque<part_map> incomplete_;
};

} // namespace goldcrestwell::internal

#endif
