#include "goldcrestwell/core/membership/anti_entropy.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

/** Bytes of the TCP and IP headers of a frame and of its acknowledgement. */
constexpr std::size_t frame_overhead_bytes = 92;
/** Encoded sizes. */
constexpr std::size_t digest_bytes = 5;
constexpr std::size_t version_bytes = 20;
constexpr std::size_t id_bytes = 9;
/** Records per chunk of a reply, about 2.5 KB. */
constexpr std::size_t max_chunk_members = 12;
constexpr std::size_t max_chunk_rollouts = 12;
/** Records in a list after which no further bucket is added, about 2.5 KB. */
constexpr std::size_t target_list_records = 128;
/** Records requested from one peer at a time, about 3.5 KB. */
constexpr std::size_t max_page_ids = 32;
/** Time after which a record is requested from another peer, so replies that are not sent by then are dropped. */
constexpr std::chrono::milliseconds request_timeout{4000};
/** Pending replies; further requests are dropped, and the requester asks another node after its time-out. */
constexpr std::size_t max_pending_replies = 8;
/** A reply has this many of the newest rollouts, which differ most often, and as many chosen at random. */
constexpr std::size_t reply_rollouts_half = 32;
/** A list with at least this many newer records makes further differences likely. */
constexpr std::size_t many_newer_records = 4;
/** Delay of the next exchange after a list with fewer newer records, in catch-up intervals. */
constexpr int few_newer_records_factor = 8;

} // namespace

anti_entropy::anti_entropy(anti_entropy_options options, const member_table& table, byte_budget& budget)
    : options_{std::move(options)}, table_{&table}, budget_{&budget}, random_{options_.seed},
      exchange_interval_{options_.timing.sync_interval} {}

void anti_entropy::catch_up(const steady_time now) {
    exchange_interval_ = options_.timing.catch_up_interval;
    next_exchange_ = now + jittered(exchange_interval_);
}

void anti_entropy::bring_forward(const std::chrono::milliseconds interval, const steady_time now) {
    exchange_interval_ = std::min(exchange_interval_, interval);
    const auto due = now + jittered(interval);
    if (!next_exchange_ || due < *next_exchange_) {
        next_exchange_ = due;
    }
}

void anti_entropy::on_timer(const steady_time now) {
    if (next_exchange_ && now >= *next_exchange_) {
        start_exchange(now);
    }
    if (next_chunk_due_ && now >= *next_chunk_due_) {
        send_chunks(now);
    }
}

std::optional<steady_time> anti_entropy::next_timer() const {
    if (next_exchange_ && next_chunk_due_) {
        return std::min(*next_exchange_, *next_chunk_due_);
    }
    return next_exchange_ ? next_exchange_ : next_chunk_due_;
}

void anti_entropy::start_exchange(const steady_time now) {
    const auto peer = options_.choose_peer();
    if (!peer) {
        next_exchange_ = now + jittered(options_.timing.sync_interval);
        return;
    }
    std::erase_if(request_expiries_, [now](const auto& item) { return item.second <= now; });
    const sync_digest digest{.buckets = table_->digests(), .rollouts = rollouts_digest(options_.rollouts())};
    const auto bytes = frame_overhead_bytes + digest.buckets.size() * digest_bytes;
    if (!budget_->spend(bytes, control_priority::anti_entropy, now)) {
        next_exchange_ =
            budget_->ready_at(bytes, control_priority::anti_entropy, now) + jittered(options_.timing.catch_up_interval);
        return;
    }
    next_exchange_ = now + jittered(exchange_interval_);
    exchange_interval_ = std::min(exchange_interval_ * 2, options_.timing.sync_interval);
    options_.send(*peer, digest);
}

void anti_entropy::on_digest(const node_id from, const sync_digest& digest, const steady_time now) {
    send_list(from, digest, now);
    if (rollouts_digest(options_.rollouts()) != digest.rollouts) {
        add_reply({.to = from, .ids = {}, .rollouts = choose_rollouts(), .expiry = {}}, now);
    }
}

void anti_entropy::send_list(const node_id to, const sync_digest& digest, const steady_time now) {
    sync_list list;
    for (const auto id : table_->ids_in_differing_buckets(digest.buckets, random_() % digest_bucket_count,
                                                          target_list_records, list.more)) {
        const auto published = options_.published_record(*table_->find(id));
        list.records.push_back({.id = id, .incarnation = published.incarnation, .status = published.status});
    }
    const auto bytes = frame_overhead_bytes + list.records.size() * version_bytes;
    if (!list.records.empty() && budget_->spend(bytes, control_priority::anti_entropy, now)) {
        options_.send(to, list);
    }
}

void anti_entropy::on_list(const node_id from, const sync_list& list, const steady_time now) {
    std::vector<node_id> ids_to_request;
    auto has_pending_request = false;
    for (const auto& remote : list.records) {
        if (!is_newer(remote)) {
            continue;
        }
        const auto request_expiry = request_expiries_.find(remote.id);
        if (request_expiry != request_expiries_.end() && now < request_expiry->second) {
            has_pending_request = true;
            continue;
        }
        ids_to_request.push_back(remote.id);
    }
    if (!ids_to_request.empty() || has_pending_request) {
        const auto factor = ids_to_request.size() >= many_newer_records ? 1 : few_newer_records_factor;
        bring_forward(options_.timing.catch_up_interval * factor, now);
    }
    request(from, ids_to_request, now);
}

bool anti_entropy::is_newer(const record_version& remote) const {
    const auto* known = table_->find(remote.id);
    // A peer may keep a tombstone for longer; requesting it again would keep it in the cluster for ever.
    if (known == nullptr) {
        return !is_tombstone(remote.status);
    }
    return known->data_centre.empty() || remote.incarnation > known->incarnation ||
           (remote.incarnation == known->incarnation && remote.status > known->status);
}

void anti_entropy::request(const node_id first_peer, const std::vector<node_id>& ids, const steady_time now) {
    auto peer = std::optional{first_peer};
    for (size_type first = 0; first < ids.size() && peer; first += max_page_ids) {
        const auto begin = ids.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(max_page_ids, ids.size() - first);
        sync_request page{.ids = {begin, begin + static_cast<std::ptrdiff_t>(count)}};
        if (!budget_->spend(frame_overhead_bytes + count * id_bytes, control_priority::anti_entropy, now)) {
            return;
        }
        for (const auto id : page.ids) {
            request_expiries_[id] = now + request_timeout;
        }
        options_.send(*peer, page);
        peer = options_.choose_peer();
    }
}

void anti_entropy::on_request(const node_id from, const sync_request& request, const steady_time now) {
    add_reply({.to = from, .ids = request.ids, .rollouts = {}, .expiry = {}}, now);
}

void anti_entropy::add_reply(pending_reply reply, const steady_time now) {
    std::erase_if(reply.ids, [this](const node_id id) { return table_->find(id) == nullptr; });
    reply.ids.resize(std::min(reply.ids.size(), max_page_ids));
    if (replies_.size() >= max_pending_replies || (reply.ids.empty() && reply.rollouts.empty())) {
        return;
    }
    reply.expiry = now + request_timeout;
    replies_.push_back(std::move(reply));
    if (!next_chunk_due_) {
        send_chunks(now);
    }
}

void anti_entropy::send_chunks(const steady_time now) {
    next_chunk_due_.reset();
    std::erase_if(replies_, [now](const pending_reply& reply) { return reply.expiry <= now; });
    while (!replies_.empty()) {
        const auto chunk = next_chunk(replies_.front());
        const auto bytes = options_.encoded_size(chunk) + frame_overhead_bytes;
        if (!budget_->spend(bytes, control_priority::anti_entropy, now)) {
            next_chunk_due_ = budget_->ready_at(bytes, control_priority::anti_entropy, now);
            return;
        }
        auto reply = std::move(replies_.front());
        replies_.pop_front();
        remove_chunk(reply);
        options_.send(reply.to, chunk);
        if (!reply.ids.empty() || !reply.rollouts.empty()) {
            replies_.push_back(std::move(reply));
        }
    }
}

sync_state anti_entropy::next_chunk(const pending_reply& reply) const {
    sync_state chunk;
    const auto first = reply.ids.size() - std::min(reply.ids.size(), max_chunk_members);
    for (auto index = first; index < reply.ids.size(); ++index) {
        if (const auto* record = table_->find(reply.ids[index])) {
            chunk.members.push_back(options_.published_record(*record));
        }
    }
    const auto first_rollout = reply.rollouts.size() - std::min(reply.rollouts.size(), max_chunk_rollouts);
    chunk.rollouts.assign(reply.rollouts.begin() + static_cast<std::ptrdiff_t>(first_rollout), reply.rollouts.end());
    return chunk;
}

void anti_entropy::remove_chunk(pending_reply& reply) {
    reply.ids.resize(reply.ids.size() - std::min(reply.ids.size(), max_chunk_members));
    reply.rollouts.resize(reply.rollouts.size() - std::min(reply.rollouts.size(), max_chunk_rollouts));
}

std::vector<rollout_update> anti_entropy::choose_rollouts() {
    auto rollouts = options_.rollouts();
    if (rollouts.size() <= 2 * reply_rollouts_half) {
        return rollouts;
    }
    const auto middle = rollouts.begin() + static_cast<std::ptrdiff_t>(reply_rollouts_half);
    std::partial_sort(rollouts.begin(), middle, rollouts.end(),
                      [](const rollout_update& left, const rollout_update& right) {
                          return left.key.row_version > right.key.row_version;
                      });
    std::shuffle(middle, rollouts.end(), random_);
    rollouts.resize(2 * reply_rollouts_half);
    return rollouts;
}

std::uint64_t anti_entropy::rollouts_digest(const std::vector<rollout_update>& rollouts) const {
    std::uint64_t digest{};
    for (const auto& update : rollouts) {
        digest ^= digest_hash(update);
    }
    return digest;
}

std::chrono::microseconds anti_entropy::jittered(const std::chrono::milliseconds interval) {
    const std::chrono::microseconds mean{interval};
    std::uniform_int_distribution<std::chrono::microseconds::rep> distribution{mean.count() / 2, mean.count() * 3 / 2};
    return std::chrono::microseconds{distribution(random_)};
}

} // namespace goldcrestwell
