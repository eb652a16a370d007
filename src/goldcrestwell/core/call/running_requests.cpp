#include "goldcrestwell/core/call/running_requests.hpp"

namespace goldcrestwell {

void running_requests::add(const std::string& id, const running_request& request) {
    if (!id.empty()) {
        requests_.insert_or_assign(id, request);
    }
}

std::optional<running_request> running_requests::remove(const std::string& id) {
    const auto removed = requests_.extract(id);
    return removed.empty() ? std::nullopt : std::optional{removed.mapped()};
}

void running_requests::on_call_failed(const std::string_view call_id) {
    const auto dot = call_id.rfind('.');
    const auto found = dot == std::string_view::npos ? requests_.end() : requests_.find(call_id.substr(0, dot));
    if (found != requests_.end()) {
        found->second.call_failed = true;
    }
}

const running_request* running_requests::parent_of(const std::string_view call_id) const {
    const auto dot = call_id.rfind('.');
    const auto found = dot == std::string_view::npos ? requests_.end() : requests_.find(call_id.substr(0, dot));
    return found == requests_.end() ? nullptr : &found->second;
}

} // namespace goldcrestwell
