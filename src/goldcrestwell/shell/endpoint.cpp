#include "goldcrestwell/shell/endpoint.hpp"

#include <utility>

namespace goldcrestwell {

endpoint to_endpoint(const node_id id) {
    auto text = to_string(id);
    text.resize(text.find(':'));
    return {.address = std::move(text), .port = id.port()};
}

} // namespace goldcrestwell
