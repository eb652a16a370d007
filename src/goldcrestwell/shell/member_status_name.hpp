#ifndef GOLDCRESTWELL_SHELL_MEMBER_STATUS_NAME_HPP
#define GOLDCRESTWELL_SHELL_MEMBER_STATUS_NAME_HPP

#include "goldcrestwell/core/message/member_status.hpp"

#include <string_view>

namespace goldcrestwell {

/** @brief Returns the name of a member status in logs and status documents. */
[[nodiscard]] std::string_view name_of(member_status status) noexcept;

} // namespace goldcrestwell

#endif
