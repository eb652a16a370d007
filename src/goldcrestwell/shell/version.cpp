#include "goldcrestwell/shell/version.hpp"

namespace goldcrestwell {

std::string_view program_version() noexcept {
    return GOLDCRESTWELL_VERSION;
}

} // namespace goldcrestwell
