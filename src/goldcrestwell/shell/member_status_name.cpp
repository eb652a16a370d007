#include "goldcrestwell/shell/member_status_name.hpp"

namespace goldcrestwell {

std::string_view name_of(const member_status status) noexcept {
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        return "dead";
    case member_status::left:
        return "left";
    }
    return "invalid";
}

} // namespace goldcrestwell
