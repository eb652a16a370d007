#include "goldcrestwell/core/config/config_follower.hpp"

#include "goldcrestwell/core/config/push_tree.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace goldcrestwell {

namespace {

// Time in which peers can bring a restarted node up to date, so that many restarts at once cause few reads of the log.
constexpr std::chrono::milliseconds start_read_delay{500};
// Whole states are large, so few are sent in a row; two are enough for the nodes of a rack that restart together.
constexpr int state_transfer_burst = 2;
// Number of peers whose positions must be known before the highest one is taken for the end of the log.
constexpr std::size_t min_ready_peers = 3;

bool is_well_formed(const record_batch& batch) noexcept {
    auto previous = batch.after;
    for (const auto& record : batch.records) {
        if (record.offset <= previous || record.offset > batch.through) {
            return false;
        }
        previous = record.offset;
    }
    return true;
}

// A state transfer carries checkpoint parts at the offset that they cover. A batch from the log never looks like this:
// there a part has a higher offset than it covers, and a batch with an empty offset range holds no records.
bool is_state_transfer(const record_batch& batch) noexcept {
    return batch.after == batch.through && !batch.records.empty();
}

// Nodes that apply records already have the content of a checkpoint. Pushing it through the tree would use up several
// minutes of each node's byte budget.
checkpoint_part header_without_content(const checkpoint_part& part) {
    return {.covered_offset = part.covered_offset,
            .digest = part.digest,
            .index = part.index,
            .count = part.count,
            .rows = {},
            .bases = {},
            .rollout_records = {},
            .verdicts = {}};
}

} // namespace

config_follower::config_follower(config_follower_options options)
    : options_{std::move(options)}, random_{options_.seed}, reducer_{{.invariants = options_.invariants}},
      window_{options_.max_window_records, options_.max_window_bytes},
      reads_{{.direct_read = options_.direct_read_interval,
              .min_retry_delay = options_.min_read_retry_delay,
              .max_retry_delay = options_.max_read_retry_delay}},
      checkpoints_{{.retention = options_.retention,
                    .rank_interval = options_.checkpoint_rank_interval,
                    .retry_delay = options_.checkpoint_retry_delay}},
      transfer_budget_{options_.state_transfer_interval, state_transfer_burst}, reported_{reducer_.snapshot()} {}

void config_follower::start(const time_sample now) {
    checkpoints_.start(now.steady);
    role_check_at_ = now.steady;
    update_role(now.steady);
    reads_.request_read_at(now.steady + start_read_delay + jitter(options_.max_direct_read_jitter));
}

void config_follower::on_log_batch(const record_batch& batch, const time_sample now) {
    const auto before = position();
    const auto cursor = scan_.cursor();
    const auto was_ready = ready_;
    head_ = std::max(head_, batch.head);
    first_retained_ = std::max(first_retained_, batch.first_retained);
    if (internal::has_gap_after(batch, before)) {
        restore(scan_.on_batch(batch));
    } else {
        scan_.stop();
        apply(batch, now.steady);
    }
    const auto progress = position() > before || scan_.cursor() != cursor;
    reads_.succeeded(now.steady, progress, scan_.cursor().value_or(position()) < batch.head);
    if (was_ready && batch.through >= batch.head) {
        push_to_children(before);
    }
    ready_ = ready_ || position() >= batch.head;
    after_event(before, false, now.steady);
}

void config_follower::on_log_failure(const time_sample now) {
    reads_.failed(now.steady, jitter(reads_.retry_delay()));
    after_event(position(), false, now.steady);
}

void config_follower::on_peer_position(const node_id peer, const log_offset position, const time_sample now) {
    if (peer == options_.self) {
        return;
    }
    peers_.update(peer, position);
    after_event(this->position(), false, now.steady);
}

void config_follower::on_peer_batch(const node_id from, const record_batch& batch, const time_sample now) {
    const auto before = position();
    peers_.update(from, batch.through);
    head_ = std::max(head_, batch.through);
    if (is_state_transfer(batch)) {
        collect_transfer(from, batch, now.steady);
    } else {
        apply(batch, now.steady);
        // A node that lags behind pulls the missing batches itself, and so do its descendants in the tree.
        if (ready_ && position() >= peers_.highest()) {
            push_to_children(before);
        }
    }
    after_event(before, from == pulled_peer_, now.steady);
}

void config_follower::apply(const record_batch& batch, const steady_time now) {
    if (batch.after > position() || !is_well_formed(batch)) {
        count(drop_reason::batch_gap);
        return;
    }
    for (const auto& record : batch.records) {
        apply_record(record, now);
    }
    reducer_.advance_to(batch.through);
}

void config_follower::apply_record(const sequenced_record& record, const steady_time now) {
    if (record.offset <= position()) {
        count(drop_reason::record_old);
        return;
    }
    if (auto verdict = reducer_.apply(record)) {
        new_verdicts_.push_back(std::move(*verdict));
    }
    if (const auto* part = std::get_if<checkpoint_part>(&record.record)) {
        const auto header = header_without_content(*part);
        checkpoints_.on_part(header, ready_, now);
        window_.add({.offset = record.offset, .record = header});
        return;
    }
    window_.add(record);
    if (std::holds_alternative<unreadable_record>(record.record)) {
        count(drop_reason::record_unreadable);
    }
}

void config_follower::restore(const std::vector<checkpoint_part>& parts) {
    if (parts.empty()) {
        return;
    }
    const auto before = position();
    if (!reducer_.restore(parts)) {
        count(reducer_.last_reason() == reducer_reason::checkpoint_old ? drop_reason::record_old
                                                                       : drop_reason::record_unreadable);
        return;
    }
    window_.reset(position());
    scan_.stop();
    transfer_parts_.clear();
    const auto& verdicts = reducer_.verdicts();
    std::copy_if(verdicts.begin(), verdicts.end(), std::back_inserter(new_verdicts_),
                 [before](const edit_verdict& verdict) { return verdict.offset > before; });
}

void config_follower::collect_transfer(const node_id from, const record_batch& batch, const steady_time now) {
    if (batch.through <= position()) {
        count(drop_reason::record_old);
        return;
    }
    for (const auto& record : batch.records) {
        const auto* part = std::get_if<checkpoint_part>(&record.record);
        if (part == nullptr || part->covered_offset != batch.through || record.offset != batch.through) {
            count(drop_reason::batch_gap);
            return;
        }
        restore(transfer_parts_.add(*part));
    }
    if (from == pulled_peer_ && pull_at_) {
        pull_at_ = now + options_.pull_timeout;
    }
}

void config_follower::report_changes() {
    if (reported_ != reducer_.snapshot()) {
        reported_ = reducer_.snapshot();
        options_.snapshot_changed(reported_);
    }
    for (const auto& verdict : std::exchange(new_verdicts_, {})) {
        options_.edit_decided(verdict);
    }
}

void config_follower::push_to_children(const log_offset before) {
    if (position() == before || !window_.has_all_after(before)) {
        return;
    }
    const auto batch = window_.batch(before, position(), options_.max_batch_bytes);
    if (batch.records.empty()) {
        return;
    }
    for (const auto child : internal::push_children(options_.self, options_.data_centre_peers())) {
        send_records(child, batch);
    }
}

void config_follower::send_records(const node_id to, record_batch batch) {
    batch.head = std::max(head_, position());
    batch.first_retained = first_retained_;
    options_.send_batch(to, batch);
}

void config_follower::on_pull(const node_id from, const config_pull& pull, const time_sample now) {
    if (pull.after >= position()) {
        return;
    }
    if (window_.has_all_after(pull.after)) {
        send_records(from, window_.batch(pull.after, position(), options_.max_batch_bytes));
    } else {
        send_state(from, now.steady);
    }
}

void config_follower::send_state(const node_id to, const steady_time now) {
    if (!transfer_budget_.take(now)) {
        count(drop_reason::budget_exhausted);
        return;
    }
    for (auto& part : reducer_.make_checkpoint()) {
        const auto covered_offset = part.covered_offset;
        send_records(to, {.after = covered_offset,
                          .records = {{.offset = covered_offset, .record = std::move(part)}},
                          .through = covered_offset,
                          .head = {},
                          .first_retained = {}});
    }
}

void config_follower::after_event(const log_offset before, const bool pull_answered, const steady_time now) {
    update_ready();
    catch_up(position() > before, pull_answered, now);
    report_changes();
}

void config_follower::catch_up(const bool progress, const bool pull_answered, const steady_time now) {
    if (!ready_ && !reads_.is_read_requested() && !reads_.reading()) {
        reads_.request_read_at(now + options_.direct_read_interval + jitter(options_.max_direct_read_jitter));
    }
    if (peers_.highest() <= position()) {
        pull_at_.reset();
        pulled_peer_ = {};
        if (ready_) {
            reads_.cancel_read_request();
        }
        return;
    }
    if (!pull_at_ || progress) {
        schedule_direct_read(now);
        pull_at_ = pull_answered ? now : now + options_.pull_delay + jitter(options_.pull_delay);
        pulled_peer_ = {};
    } else if (!reads_.is_read_requested() && !reads_.reading()) {
        schedule_direct_read(now);
    }
}

void config_follower::schedule_direct_read(const steady_time now) {
    const auto at = now + options_.direct_read_delay + jitter(options_.max_direct_read_jitter);
    if (ready_) {
        reads_.request_read_at(at);
    } else {
        reads_.request_read_by(at);
    }
}

void config_follower::update_ready() {
    const auto caught_up = position() && position() >= peers_.highest();
    ready_ = ready_ || (reads_.failing() && caught_up && has_enough_peer_positions());
}

bool config_follower::has_enough_peer_positions() const {
    const auto members = options_.all_peers();
    const auto others =
        members.size() - static_cast<std::size_t>(std::count(members.begin(), members.end(), options_.self));
    return peers_.size() >= std::clamp(others, std::size_t{1}, min_ready_peers);
}

void config_follower::on_timer(const time_sample now) {
    update_role(now.steady);
    pull_if_due(now.steady);
    write_checkpoint_if_due(now.steady);
    read_if_due(now.steady);
}

void config_follower::update_role(const steady_time now) {
    if (!role_check_at_ || now < *role_check_at_) {
        return;
    }
    role_check_at_ = now + options_.role_check_interval;
    reads_.set_relay(internal::is_relay(options_.self, options_.data_centre_peers()));
}

void config_follower::pull_if_due(const steady_time now) {
    if (!pull_at_ || now < *pull_at_) {
        return;
    }
    pull_at_ = now + options_.pull_timeout;
    if (const auto peer = peers_.pick(position(), pulled_peer_, random_)) {
        pulled_peer_ = *peer;
        options_.send_pull(*peer, {.after = position()});
    }
}

void config_follower::read_if_due(const steady_time now) {
    const auto due = reads_.next();
    if (!due || now < *due) {
        return;
    }
    const auto wait = reads_.may_long_poll() ? options_.long_poll : std::chrono::milliseconds{};
    reads_.started(now);
    options_.read_log(scan_.cursor().value_or(position()), wait);
}

void config_follower::write_checkpoint_if_due(const steady_time now) {
    if (now < checkpoints_.next_check()) {
        return;
    }
    if (!ready_ || !position()) {
        checkpoints_.postpone(now);
        return;
    }
    const auto rank = [this] {
        return internal::checkpoint_rank(options_.self, options_.all_peers());
    };
    if (checkpoints_.start_write_if_due(now, rank)) {
        for (auto& part : reducer_.make_checkpoint()) {
            options_.append_record(std::move(part));
        }
    }
}

std::optional<steady_time> config_follower::next_timer() const {
    if (!role_check_at_) {
        return std::nullopt;
    }
    auto next = std::min(*role_check_at_, checkpoints_.next_check());
    next = std::min(next, pull_at_.value_or(next));
    return std::min(next, reads_.next().value_or(next));
}

void config_follower::count(const drop_reason reason) {
    if (options_.counts != nullptr) {
        options_.counts->drops.add(reason);
    }
}

std::chrono::milliseconds config_follower::jitter(const std::chrono::milliseconds max_jitter) {
    return std::chrono::milliseconds{
        std::uniform_int_distribution<std::chrono::milliseconds::rep>{0, max_jitter.count()}(random_)};
}

} // namespace goldcrestwell
