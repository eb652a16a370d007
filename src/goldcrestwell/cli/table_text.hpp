#ifndef GOLDCRESTWELL_CLI_TABLE_TEXT_HPP
#define GOLDCRESTWELL_CLI_TABLE_TEXT_HPP

#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return Rows of a CSV text with aligned columns, without the columns that are empty in every row. */
[[nodiscard]] std::string to_aligned_text(std::string_view csv);

} // namespace goldcrestwell

#endif
