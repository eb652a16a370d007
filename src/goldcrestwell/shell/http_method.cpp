#include "goldcrestwell/shell/http_method.hpp"

#include <array>

namespace goldcrestwell {

namespace {

struct served_method {
    evhttp_cmd_type type;
    std::string_view name;
};

constexpr std::array<served_method, 7> served_methods{{{EVHTTP_REQ_GET, "GET"},
                                                       {EVHTTP_REQ_POST, "POST"},
                                                       {EVHTTP_REQ_HEAD, "HEAD"},
                                                       {EVHTTP_REQ_PUT, "PUT"},
                                                       {EVHTTP_REQ_DELETE, "DELETE"},
                                                       {EVHTTP_REQ_OPTIONS, "OPTIONS"},
                                                       {EVHTTP_REQ_PATCH, "PATCH"}}};

} // namespace

std::optional<evhttp_cmd_type> method_type(const std::string_view name) noexcept {
    for (const auto& method : served_methods) {
        if (method.name == name) {
            return method.type;
        }
    }
    return std::nullopt;
}

} // namespace goldcrestwell
