#include "goldcrestwell/core/membership/anti_entropy.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

/** TCP and IP headers of a frame and of its acknowledgement. */
constexpr std::size_t frame_overhead = 92;
/** Encoded bytes of a digest apart from the name of its data centre. */
constexpr std::size_t digest_bytes = 12;
/** Records in a part of an answer, about 2.5 KB. */
constexpr std::size_t part_members = 12;
constexpr std::size_t part_moves = 12;
/** Below this size one exchange over all records is cheaper than one for each slice. */
constexpr std::size_t slice_threshold = 512;
/**
 * Records after which an answer takes no further data centre: about 1.5 s of the budget. Whole data centres are sent,
 * because a complete one drops out of the next comparison. Longer answers would be out of date before they are sent.
 */
constexpr std::size_t enough_members = 96;
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
      slice_{static_cast<std::uint32_t>(random_() % digest_slice_count)} {}

void anti_entropy::catch_up(const steady_time now) {
    slices_left_ = digest_slice_count;
    next_ = now + jittered(options_.timing.catch_up_interval);
}

void anti_entropy::on_news(const size_type records, const steady_time now) {
    const auto factor = records >= much_news ? 1 : little_news_factor;
    const auto soon = now + jittered(options_.timing.catch_up_interval * factor);
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
    const auto slice = sliced() ? slice_ + 1 : 0;
    sync_digest digest{
        .data_centres = table_->digests(slice), .moves = moves_digest(options_.moves()), .reply = true, .slice = slice};
    auto bytes = frame_overhead;
    for (const auto& entry : digest.data_centres) {
        bytes += entry.data_centre.value.size() + digest_bytes;
    }
    if (!budget_->spend(bytes, control_priority::anti_entropy, now)) {
        next_ =
            budget_->ready_at(bytes, control_priority::anti_entropy, now) + jittered(options_.timing.catch_up_interval);
        return;
    }
    slice_ = (slice_ + 1) % digest_slice_count;
    slices_left_ = slice != 0 && slices_left_ > 0 ? slices_left_ - 1 : 0;
    next_ = now + jittered(slices_left_ > 0 ? options_.timing.catch_up_interval : options_.timing.sync_interval);
    ++exchanges_;
    options_.send_digest(*peer, digest);
}

void anti_entropy::on_digest(const node_id from, const sync_digest& digest, const steady_time now) {
    if (!digest.reply || answers_.size() >= answers_limit) {
        return;
    }
    const auto only = digest.slice == 0 && sliced() ? slice_ + 1 : digest.slice;
    answer job{.to = from, .ids = table_->differing(digest, only, random_(), enough_members), .moves = {}};
    if (moves_digest(options_.moves()) != digest.moves) {
        job.moves = choose_moves();
    }
    if (job.ids.empty() && job.moves.empty()) {
        return;
    }
    answers_.push_back(std::move(job));
    if (!next_part_) {
        send_parts(now);
    }
}

void anti_entropy::send_parts(const steady_time now) {
    next_part_.reset();
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
        options_.send_state(job.to, part);
        if (!job.ids.empty() || !job.moves.empty()) {
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
    const auto first_move = job.moves.size() - std::min(job.moves.size(), part_moves);
    part.moves.assign(job.moves.begin() + static_cast<std::ptrdiff_t>(first_move), job.moves.end());
    return part;
}

void anti_entropy::remove_part(answer& job) {
    job.ids.resize(job.ids.size() - std::min(job.ids.size(), part_members));
    job.moves.resize(job.moves.size() - std::min(job.moves.size(), part_moves));
}

std::vector<move_update> anti_entropy::choose_moves() {
    auto moves = options_.moves();
    if (moves.size() <= 2 * moves_half) {
        return moves;
    }
    const auto middle = moves.begin() + static_cast<std::ptrdiff_t>(moves_half);
    std::partial_sort(moves.begin(), middle, moves.end(), [](const move_update& left, const move_update& right) {
        return left.key.row_version > right.key.row_version;
    });
    std::shuffle(middle, moves.end(), random_);
    moves.resize(2 * moves_half);
    return moves;
}

std::uint64_t anti_entropy::moves_digest(const std::vector<move_update>& moves) const {
    std::uint64_t digest{};
    for (const auto& update : moves) {
        digest ^= digest_hash(update);
    }
    return digest;
}

bool anti_entropy::sliced() const {
    return table_->members().size() > slice_threshold;
}

std::chrono::microseconds anti_entropy::jittered(const std::chrono::milliseconds interval) {
    const std::chrono::microseconds whole{interval};
    std::uniform_int_distribution<std::chrono::microseconds::rep> part{whole.count() / 2, whole.count() * 3 / 2};
    return std::chrono::microseconds{part(random_)};
}

} // namespace goldcrestwell
