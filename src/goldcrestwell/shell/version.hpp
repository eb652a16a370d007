#ifndef GOLDCRESTWELL_SHELL_VERSION_HPP
#define GOLDCRESTWELL_SHELL_VERSION_HPP

#include <string_view>

namespace goldcrestwell {

/** @brief Returns the program version as `major.minor.patch`. */
[[nodiscard]] std::string_view program_version() noexcept;

} // namespace goldcrestwell

#endif
