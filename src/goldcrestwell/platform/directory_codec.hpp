#ifndef GOLDCRESTWELL_PLATFORM_DIRECTORY_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_DIRECTORY_CODEC_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Decoded records of the node directory. */
struct directory_page {
    std::vector<node_id> nodes;
    /** @brief Recorded departures from the host of the reading node, the latest one last; empty if unreadable. */
    std::optional<std::vector<upstream_departure>> departures;
    /** @brief Number of records that could not be decoded. */
    std::size_t skipped{};
};

/** @brief Decodes the records of the node directory for the node `self`. Never throws. */
[[nodiscard]] directory_page decode_directory(const std::vector<operator_record>& records, node_id self);

/**
 * @param self Node on the host of the upstreams.
 * @param departures Departures, the latest one last; at least one.
 * @return A record of the node directory that holds them.
 */
[[nodiscard]] operator_record encode_departures(node_id self, const std::vector<upstream_departure>& departures);

} // namespace goldcrestwell

#endif
