#ifndef GOLDCRESTWELL_CODEC_CSV_TEXT_HPP
#define GOLDCRESTWELL_CODEC_CSV_TEXT_HPP

#include "goldcrestwell/codec/csv_reason.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell::internal {

/** @brief One row of a CSV text. */
struct csv_row {
    /** @brief Line of the text where the row starts, from 1. */
    std::size_t line{};
    std::vector<std::string> fields;
};

/** @brief Rows of a CSV text; after a failure, the rows before it. */
struct csv_text {
    std::vector<csv_row> rows;
    csv_reason reason{csv_reason::none};
    /** @brief Line and column of the failure, from 1. */
    std::size_t line{};
    std::size_t column{};
};

/** @return The rows of the text. Empty lines are skipped; lines end with LF, CRLF or CR. */
[[nodiscard]] csv_text split_csv(std::string_view text);

/** @return The text as a CSV field, quoted if necessary. */
[[nodiscard]] std::string csv_field(std::string_view text);

} // namespace goldcrestwell::internal

#endif
