#ifndef GOLDCRESTWELL_CLI_FILE_TEXT_HPP
#define GOLDCRESTWELL_CLI_FILE_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Largest file that a subcommand reads, in bytes. */
inline constexpr std::size_t max_file_bytes = std::size_t{16} << 20U;

/** @return Content of a file (`-` is the standard input), or nothing if it cannot be read or is too large. */
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

} // namespace goldcrestwell

#endif
