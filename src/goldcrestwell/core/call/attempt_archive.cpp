#include "goldcrestwell/core/call/attempt_archive.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// Batches removals: the timer fires at most once a second, whatever the number of calls.
constexpr std::chrono::seconds expiry_slack{1};

} // namespace

void attempt_archive::add(const attempt_id& id, archived_attempt ended, const steady_time now) {
    const auto bytes = ended.response ? ended.response->body.size() : 0;
    const auto has_response = ended.response != nullptr;
    if (!ended_.emplace(id, std::move(ended)).second) {
        return;
    }
    ids_.emplace_back(now, id);
    if (!has_response) {
        return;
    }
    responses_.emplace_back(now, id);
    response_bytes_ += bytes;
    while (response_bytes_ > options_.max_response_bytes && responses_.size() > 1) {
        evict_response();
    }
}

const archived_attempt* attempt_archive::find(const attempt_id& id) const {
    const auto found = ended_.find(id);
    return found == ended_.end() ? nullptr : &found->second;
}

bool attempt_archive::may_have_been_seen(const attempt_id& id) const {
    const auto found = floors_.find(id.origin.value());
    if (found == floors_.end() || id.start_incarnation > found->second.start_incarnation) {
        return false;
    }
    return id.start_incarnation < found->second.start_incarnation || id.sequence <= found->second.sequence;
}

void attempt_archive::raise_floor(const attempt_id& id) {
    auto& floor = floors_[id.origin.value()];
    if (id.start_incarnation > floor.start_incarnation) {
        floor = {.start_incarnation = id.start_incarnation, .sequence = id.sequence};
    } else if (id.start_incarnation == floor.start_incarnation) {
        floor.sequence = std::max(floor.sequence, id.sequence);
    }
}

void attempt_archive::evict_response() {
    if (const auto found = ended_.find(responses_.front().second); found != ended_.end()) {
        response_bytes_ -= found->second.response->body.size();
        found->second.response.reset();
    }
    responses_.pop_front();
}

void attempt_archive::expire(const steady_time now) {
    while (!responses_.empty() && responses_.front().first + options_.response_retention <= now) {
        evict_response();
    }
    while (!ids_.empty() && ids_.front().first + options_.id_retention <= now) {
        raise_floor(ids_.front().second);
        ended_.erase(ids_.front().second);
        ids_.pop_front();
    }
}

std::optional<steady_time> attempt_archive::next_timer() const {
    std::optional<steady_time> next;
    if (!ids_.empty()) {
        next = ids_.front().first + options_.id_retention;
    }
    if (!responses_.empty()) {
        const auto response_expiry = responses_.front().first + options_.response_retention;
        next = next ? std::min(*next, response_expiry) : response_expiry;
    }
    return next ? std::optional{*next + expiry_slack} : std::nullopt;
}

} // namespace goldcrestwell
