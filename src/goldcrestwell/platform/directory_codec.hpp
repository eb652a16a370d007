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
    /** @brief Last recorded departure of the upstream of the reading node. */
    std::optional<upstream_departure> departure;
    /** @brief Number of records that could not be decoded. */
    std::size_t skipped{};
};

/** @brief Decodes the records of the node directory for the node `self`. Never throws. */
[[nodiscard]] directory_page decode_directory(const std::vector<operator_record>& records, node_id self);

/** @return A record of the node directory that holds the departure of the upstream of the node `self`. */
[[nodiscard]] operator_record encode_departure(node_id self, const upstream_departure& departure);

} // namespace goldcrestwell

#endif
