#ifndef GOLDCRESTWELL_PLATFORM_STORE_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_STORE_CODEC_HPP

#include "goldcrestwell/core/common/store_era.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Page of the newest records of each key of a topic. */
struct newest_page {
    std::vector<operator_record> records;
    /** @brief Position after the last record of the topic. */
    log_offset end;
    /** @brief Key after which the next page starts; empty if no further page follows. */
    std::string next_after;
    /** @brief Number of items that could not be decoded. */
    std::size_t skipped{};
};

/** @brief Consecutive records of a topic, starting at the requested position. */
struct record_page {
    std::vector<operator_record> records;
    log_offset end;
    /** @brief Number of records without a valid key. */
    std::size_t skipped{};
};

/** @return Era in the value of a header, or nothing if it is not a number. */
[[nodiscard]] std::optional<store_era> decode_era(std::string_view text) noexcept;

/**
 * @param body Body of a response.
 * @param era Era of the response.
 * @return The page in the body, or nothing if it is invalid. Items that cannot be decoded are skipped,
 * because other programs may write to the topic. Never throws.
 */
[[nodiscard]] std::optional<newest_page> decode_newest_page(std::string_view body, store_era era = {});

/**
 * @param body Body of a response.
 * @param from Number of the first record in the body, counted from zero.
 * @param era Era of the response.
 * @return The decoded records without those that have no valid key, or nothing if the body is truncated.
 */
[[nodiscard]] std::optional<record_page> decode_record_page(std::string_view body, std::uint64_t from,
                                                            store_era era = {});

/** @return The body of a request that appends one record. */
[[nodiscard]] std::string encode_record(std::string_view key, std::string_view payload);

} // namespace goldcrestwell

#endif
