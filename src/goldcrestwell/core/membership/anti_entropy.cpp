#include "goldcrestwell/core/membership/anti_entropy.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

/** TCP and IP headers of a frame and of its acknowledgement. */
constexpr std::size_t frame_overhead = 92;
/** Encoded bytes of a digest, a record version and an id. */
constexpr std::size_t digest_bytes = 5;
constexpr std::size_t version_bytes = 20;
constexpr std::size_t id_bytes = 9;
/** Records in a part of an answer, about 2.5 KB. */
constexpr std::size_t part_members = 12;
constexpr std::size_t part_moves = 12;
/** Records in a list after which no further bucket is added, about 2.5 KB. */
constexpr std::size_t list_records = 128;
/** Records requested from one peer at a time, about 3.5 KB. */
constexpr std::size_t page_ids = 32;
/** Wait for a requested record; answers not sent by then are dropped, because the asker turns to another peer. */
constexpr std::chrono::milliseconds request_timeout{4000};
/** Answers in progress; further requests are dropped, and the peer asks another node. */
constexpr std::size_t answers_limit = 8;
/** Moves in an answer: half the newest, half at random, because new differences are likely to be new moves. */
constexpr std::size_t moves_half = 32;
/** With this many new records in a part of an answer, more are likely to be missing. */
constexpr std::size_t much_news = 4;
/** Wait after little news, in catch-up intervals. */
constexpr int little_news_factor = 8;

} // namespace

anti_entropy::anti_entropy(anti_entropy_options options, const member_table& table, byte_budget& budget)
    : options_{std::move(options)}, table_{&table}, budget_{&budget}, random_{options_.seed},
      wait_{options_.timing.sync_interval} {}

void anti_entropy::catch_up(const steady_time now) {
    wait_ = options_.timing.catch_up_interval;
    next_ = now + jittered(wait_);
}

void anti_entropy::hasten(const std::chrono::milliseconds interval, const steady_time now) {
    wait_ = std::min(wait_, interval);
    const auto soon = now + jittered(interval);
    if (!next_ || soon < *next_) {
        next_ = soon;
    }
}

void anti_entropy::on_timer(const steady_time now) {
    if (next_ && now >= *next_) {
        exchange(now);
    }
    if (next_part_ && now >= *next_part_) {
        send_parts(now);
    }
}

std::optional<steady_time> anti_entropy::next_timer() const {
    if (next_ && next_part_) {
        return std::min(*next_, *next_part_);
    }
    return next_ ? next_ : next_part_;
}

void anti_entropy::exchange(const steady_time now) {
    const auto peer = options_.choose_peer();
    if (!peer) {
        next_ = now + jittered(options_.timing.sync_interval);
        return;
    }
    std::erase_if(requested_, [now](const auto& item) { return item.second <= now; });
    const sync_digest digest{.buckets = table_->digests(), .rollouts = rollouts_digest(options_.rollouts())};
    const auto bytes = frame_overhead + digest.buckets.size() * digest_bytes;
    if (!budget_->spend(bytes, control_priority::anti_entropy, now)) {
        next_ =
            budget_->ready_at(bytes, control_priority::anti_entropy, now) + jittered(options_.timing.catch_up_interval);
        return;
    }
    next_ = now + jittered(wait_);
    wait_ = std::min(wait_ * 2, options_.timing.sync_interval);
    options_.send(*peer, digest);
}

void anti_entropy::on_digest(const node_id from, const sync_digest& digest, const steady_time now) {
    send_list(from, digest, now);
    if (rollouts_digest(options_.rollouts()) != digest.rollouts) {
        add_answer({.to = from, .ids = {}, .rollouts = choose_rollouts(), .expiry = {}}, now);
    }
}

void anti_entropy::send_list(const node_id to, const sync_digest& digest, const steady_time now) {
    sync_list list;
    for (const auto id : table_->differing(digest.buckets, random_() % digest_bucket_count, list_records, list.more)) {
        const auto told = options_.outgoing(*table_->find(id));
        list.records.push_back({.id = id, .incarnation = told.incarnation, .status = told.status});
    }
    const auto bytes = frame_overhead + list.records.size() * version_bytes;
    if (!list.records.empty() && budget_->spend(bytes, control_priority::anti_entropy, now)) {
        options_.send(to, list);
    }
}

void anti_entropy::on_list(const node_id from, const sync_list& list, const steady_time now) {
    std::vector<node_id> wanted;
    auto waiting = false;
    for (const auto& theirs : list.records) {
        if (!is_news(theirs)) {
            continue;
        }
        const auto asked = requested_.find(theirs.id);
        if (asked != requested_.end() && now < asked->second) {
            waiting = true;
            continue;
        }
        wanted.push_back(theirs.id);
    }
    if (!wanted.empty() || waiting) {
        const auto factor = wanted.size() >= much_news ? 1 : little_news_factor;
        hasten(options_.timing.catch_up_interval * factor, now);
    }
    request(from, wanted, now);
}

bool anti_entropy::is_news(const record_version& theirs) const {
    const auto* known = table_->find(theirs.id);
    // A peer may keep a tombstone for longer; taking it over again would keep it in the system for ever.
    if (known == nullptr) {
        return !is_tombstone(theirs.status);
    }
    return known->data_centre.empty() || theirs.incarnation > known->incarnation ||
           (theirs.incarnation == known->incarnation && theirs.status > known->status);
}

void anti_entropy::request(const node_id first_peer, const std::vector<node_id>& ids, const steady_time now) {
    auto peer = std::optional{first_peer};
    for (size_type first = 0; first < ids.size() && peer; first += page_ids) {
        const auto begin = ids.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(page_ids, ids.size() - first);
        sync_request page{.ids = {begin, begin + static_cast<std::ptrdiff_t>(count)}};
        if (!budget_->spend(frame_overhead + count * id_bytes, control_priority::anti_entropy, now)) {
            return;
        }
        for (const auto id : page.ids) {
            requested_[id] = now + request_timeout;
        }
        options_.send(*peer, page);
        peer = options_.choose_peer();
    }
}

void anti_entropy::on_request(const node_id from, const sync_request& request, const steady_time now) {
    add_answer({.to = from, .ids = request.ids, .rollouts = {}, .expiry = {}}, now);
}

void anti_entropy::add_answer(answer job, const steady_time now) {
    std::erase_if(job.ids, [this](const node_id id) { return table_->find(id) == nullptr; });
    job.ids.resize(std::min(job.ids.size(), page_ids));
    if (answers_.size() >= answers_limit || (job.ids.empty() && job.rollouts.empty())) {
        return;
    }
    job.expiry = now + request_timeout;
    answers_.push_back(std::move(job));
    if (!next_part_) {
        send_parts(now);
    }
}

void anti_entropy::send_parts(const steady_time now) {
    next_part_.reset();
    std::erase_if(answers_, [now](const answer& job) { return job.expiry <= now; });
    while (!answers_.empty()) {
        const auto part = next_part(answers_.front());
        const auto bytes = options_.state_size(part) + frame_overhead;
        if (!budget_->spend(bytes, control_priority::anti_entropy, now)) {
            next_part_ = budget_->ready_at(bytes, control_priority::anti_entropy, now);
            return;
        }
        auto job = std::move(answers_.front());
        answers_.pop_front();
        remove_part(job);
        options_.send(job.to, part);
        if (!job.ids.empty() || !job.rollouts.empty()) {
            answers_.push_back(std::move(job));
        }
    }
}

sync_state anti_entropy::next_part(const answer& job) const {
    sync_state part;
    const auto first = job.ids.size() - std::min(job.ids.size(), part_members);
    for (auto place = first; place < job.ids.size(); ++place) {
        if (const auto* record = table_->find(job.ids[place])) {
            part.members.push_back(options_.outgoing(*record));
        }
    }
    const auto first_move = job.rollouts.size() - std::min(job.rollouts.size(), part_moves);
    part.rollouts.assign(job.rollouts.begin() + static_cast<std::ptrdiff_t>(first_move), job.rollouts.end());
    return part;
}

void anti_entropy::remove_part(answer& job) {
    job.ids.resize(job.ids.size() - std::min(job.ids.size(), part_members));
    job.rollouts.resize(job.rollouts.size() - std::min(job.rollouts.size(), part_moves));
}

std::vector<rollout_update> anti_entropy::choose_rollouts() {
    auto rollouts = options_.rollouts();
    if (rollouts.size() <= 2 * moves_half) {
        return rollouts;
    }
    const auto middle = rollouts.begin() + static_cast<std::ptrdiff_t>(moves_half);
    std::partial_sort(rollouts.begin(), middle, rollouts.end(),
                      [](const rollout_update& left, const rollout_update& right) {
                          return left.key.row_version > right.key.row_version;
                      });
    std::shuffle(middle, rollouts.end(), random_);
    rollouts.resize(2 * moves_half);
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
    const std::chrono::microseconds whole{interval};
    std::uniform_int_distribution<std::chrono::microseconds::rep> part{whole.count() / 2, whole.count() * 3 / 2};
    return std::chrono::microseconds{part(random_)};
}

} // namespace goldcrestwell
