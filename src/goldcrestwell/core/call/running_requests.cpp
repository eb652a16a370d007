#include "goldcrestwell/core/call/running_requests.hpp"

namespace goldcrestwell {

void running_requests::add(const std::string& id, const running_request& request) {
    if (!id.empty()) {
        requests_.insert_or_assign(id, request);
    }
}

void running_requests::remove(const std::string& id) {
    requests_.erase(id);
}

const running_request* running_requests::maker_of(const std::string_view call_id) const {
    const auto dot = call_id.rfind('.');
    if (dot == std::string_view::npos) {
        return nullptr;
    }
    const auto found = requests_.find(call_id.substr(0, dot));
    return found == requests_.end() ? nullptr : &found->second;
}

} // namespace goldcrestwell
