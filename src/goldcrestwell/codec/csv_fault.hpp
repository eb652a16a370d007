#ifndef GOLDCRESTWELL_CODEC_CSV_FAULT_HPP
#define GOLDCRESTWELL_CODEC_CSV_FAULT_HPP

#include "goldcrestwell/codec/csv_reason.hpp"

#include <cstddef>
#include <string>

namespace goldcrestwell {

/** @brief One fault of a table file. */
struct csv_fault {
    /** @brief Line of the file where the row starts, from 1; zero if the fault concerns the whole file. */
    std::size_t line{};
    /** @brief Column of the file, from 1; zero if the fault concerns the whole line. */
    std::size_t column{};
    /** @brief Name of the column in the header row. */
    std::string header;
    csv_reason reason{csv_reason::none};

    [[nodiscard]] friend bool operator==(const csv_fault&, const csv_fault&) = default;
};

/** @return One line for operators, such as `line 3, column 4 (weight): percent_sign`. */
[[nodiscard]] std::string to_string(const csv_fault& fault);

} // namespace goldcrestwell

#endif
