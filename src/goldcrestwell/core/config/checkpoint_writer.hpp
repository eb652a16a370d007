#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_WRITER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_WRITER_HPP

#include "goldcrestwell/core/config/route_state.hpp"
#include "goldcrestwell/core/message/checkpoint_part.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Splits a state into checkpoint parts of limited size. */
class checkpoint_writer {
public:
    explicit checkpoint_writer(const std::size_t max_part_bytes) : max_part_bytes_{max_part_bytes} {}

    void add(const route_state& state);
    void add(const edit_verdict& verdict);
    /**
     * @brief Completes the parts.
     * @param covered_offset Offset of the last record that is included in the state.
     * @param digest Digest of the whole state.
     * @return All parts; at least one, even for an empty state.
     */
    [[nodiscard]] std::vector<checkpoint_part> finish(log_offset covered_offset, std::uint64_t digest) &&;

private:
    // Returns the part for an item of this estimated size; starts a new one if it does not fit into the current part.
    checkpoint_part& part_for(std::size_t bytes);

    std::size_t max_part_bytes_;
    std::size_t part_bytes_{};
    std::vector<checkpoint_part> parts_{1};
};

} // namespace goldcrestwell::internal

#endif
