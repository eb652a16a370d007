#ifndef GOLDCRESTWELL_PLATFORM_STORE_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_STORE_CODEC_HPP

#include "goldcrestwell/core/message/operator_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief One page of the newest records of a topic. */
struct newest_page {
    std::vector<operator_record> records;
    /** @brief Number of records that the topic has had. */
    log_offset end;
    /** @brief More keys follow the last one. */
    bool more{};
};

/** @brief Records read from a position of a topic. */
struct record_page {
    std::vector<operator_record> records;
    log_offset end;
};

/** @return The page that the body of an answer holds, or nothing if it is unreadable. Never throws. */
[[nodiscard]] std::optional<newest_page> decode_newest(std::string_view body);

/**
 * @param from Offset of the first record in the body.
 * @return The records of the body of an answer, or nothing if it is cut.
 */
[[nodiscard]] std::optional<record_page> decode_records(std::string_view body, std::uint64_t from);

/** @return The body of a call that appends one record with a key. */
[[nodiscard]] std::string encode_record(std::string_view key, std::string_view payload);

} // namespace goldcrestwell

#endif
