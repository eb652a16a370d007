#include "goldcrestwell/core/config/config_follower.hpp"

#include "goldcrestwell/core/config/push_tree.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace goldcrestwell {

namespace {

// A node that is no relay first gives its peers the chance to bring it up to date, so that a storm of restarts reads
// little from the log.
constexpr std::chrono::milliseconds start_read_delay{500};
// Whole states are large; two at once serve the nodes of a rack that restart together.
constexpr int state_transfer_burst = 2;
// Peers that must have been heard before the highest of their positions is taken for the newest.
constexpr std::size_t ready_peers = 3;

bool well_formed(const record_batch& batch) noexcept {
    auto previous = batch.after;
    for (const auto& record : batch.records) {
        if (record.offset <= previous || record.offset > batch.through) {
            return false;
        }
        previous = record.offset;
    }
    return true;
}

// A whole state travels as checkpoint parts at the offset that they cover. In the log a part stands above that offset,
// and a batch that ends where it begins holds no record, so neither can be taken for the other.
bool is_state_transfer(const record_batch& batch) noexcept {
    return batch.after == batch.through && !batch.records.empty();
}

// Nodes that apply records already hold the content of a checkpoint; leaving it out keeps it off the push tree, where
// one checkpoint would use up several minutes of each node's byte budget.
checkpoint_part header_of(const checkpoint_part& part) {
    return {.covers = part.covers,
            .digest = part.digest,
            .index = part.index,
            .count = part.count,
            .rows = {},
            .bases = {},
            .facts = {},
            .verdicts = {}};
}

} // namespace

config_follower::config_follower(config_follower_options options)
    : options_{std::move(options)}, random_{options_.seed}, reducer_{{.invariants = options_.invariants}},
      window_{options_.window_records, options_.window_bytes}, reads_{{.own_read = options_.own_read_interval,
                                                                       .retry_min = options_.read_retry_min,
                                                                       .retry_max = options_.read_retry_max}},
      checkpoints_{{.retention = options_.retention,
                    .rank_interval = options_.checkpoint_rank_interval,
                    .retry = options_.checkpoint_retry}},
      transfers_{options_.state_transfer_interval, state_transfer_burst}, announced_{reducer_.snapshot()} {}

void config_follower::start(const time_sample now) {
    checkpoints_.start(now.steady);
    role_check_at_ = now.steady;
    check_role(now.steady);
    reads_.want_at(now.steady + start_read_delay + jitter(options_.own_read_jitter));
}

void config_follower::on_log_batch(const record_batch& batch, const time_sample now) {
    const auto before = position();
    const auto cursor = scan_.cursor();
    const auto was_ready = ready_;
    head_ = std::max(head_, batch.head);
    first_retained_ = std::max(first_retained_, batch.first_retained);
    if (internal::passed_by_retention(batch, before)) {
        restore(scan_.on_batch(batch));
    } else {
        scan_.stop();
        apply(batch, now.steady);
    }
    const auto progress = position() > before || scan_.cursor() != cursor;
    reads_.succeeded(now.steady, progress, scan_.cursor().value_or(position()) < batch.head);
    if (was_ready && batch.through >= batch.head) {
        pass_on(before);
    }
    ready_ = ready_ || position() >= batch.head;
    after_event(before, false, now.steady);
}

void config_follower::on_log_failure(const time_sample now) {
    reads_.failed(now.steady, jitter(reads_.retry_wait()));
    after_event(position(), false, now.steady);
}

void config_follower::on_peer_position(const node_id peer, const log_offset position, const time_sample now) {
    if (peer == options_.self) {
        return;
    }
    peers_.note(peer, position);
    after_event(this->position(), false, now.steady);
}

void config_follower::on_peer_batch(const node_id from, const record_batch& batch, const time_sample now) {
    const auto before = position();
    peers_.note(from, batch.through);
    head_ = std::max(head_, batch.through);
    if (is_state_transfer(batch)) {
        collect_transfer(from, batch, now.steady);
    } else {
        apply(batch, now.steady);
        // A node that is still behind gets further batches by its own pulls, and so do those below it in the tree.
        if (ready_ && position() >= peers_.highest()) {
            pass_on(before);
        }
    }
    after_event(before, from == asked_, now.steady);
}

void config_follower::apply(const record_batch& batch, const steady_time now) {
    if (batch.after > position() || !well_formed(batch)) {
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
        const auto header = header_of(*part);
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
    transfer_.clear();
    const auto& verdicts = reducer_.verdicts();
    std::copy_if(verdicts.begin(), verdicts.end(), std::back_inserter(new_verdicts_),
                 [before](const edit_verdict& verdict) { return verdict.at > before; });
}

void config_follower::collect_transfer(const node_id from, const record_batch& batch, const steady_time now) {
    if (batch.through <= position()) {
        count(drop_reason::record_old);
        return;
    }
    for (const auto& record : batch.records) {
        const auto* part = std::get_if<checkpoint_part>(&record.record);
        if (part == nullptr || part->covers != batch.through || record.offset != batch.through) {
            count(drop_reason::batch_gap);
            return;
        }
        restore(transfer_.add(*part));
    }
    if (from == asked_ && pull_at_) {
        pull_at_ = now + options_.pull_timeout;
    }
}

void config_follower::announce_changes() {
    if (announced_ != reducer_.snapshot()) {
        announced_ = reducer_.snapshot();
        options_.snapshot_changed(announced_);
    }
    for (const auto& verdict : std::exchange(new_verdicts_, {})) {
        options_.edit_decided(verdict);
    }
}

void config_follower::pass_on(const log_offset before) {
    if (position() == before || !window_.reaches(before)) {
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
    if (window_.reaches(pull.after)) {
        send_records(from, window_.batch(pull.after, position(), options_.max_batch_bytes));
    } else {
        send_state(from, now.steady);
    }
}

void config_follower::send_state(const node_id to, const steady_time now) {
    if (!transfers_.take(now)) {
        count(drop_reason::budget_exhausted);
        return;
    }
    for (auto& part : reducer_.make_checkpoint()) {
        const auto covers = part.covers;
        send_records(to, {.after = covers,
                          .records = {{.offset = covers, .record = std::move(part)}},
                          .through = covers,
                          .head = {},
                          .first_retained = {}});
    }
}

void config_follower::after_event(const log_offset before, const bool pull_answered, const steady_time now) {
    update_ready();
    catch_up(position() > before, pull_answered, now);
    announce_changes();
}

void config_follower::catch_up(const bool progress, const bool pull_answered, const steady_time now) {
    if (!ready_ && !reads_.wanted() && !reads_.reading()) {
        reads_.want_at(now + options_.own_read_interval + jitter(options_.own_read_jitter));
    }
    if (peers_.highest() <= position()) {
        pull_at_.reset();
        asked_ = {};
        if (ready_) {
            reads_.cancel_want();
        }
        return;
    }
    if (!pull_at_ || progress) {
        want_own_read(now);
        pull_at_ = pull_answered ? now : now + options_.pull_grace + jitter(options_.pull_grace);
        asked_ = {};
    } else if (!reads_.wanted() && !reads_.reading()) {
        want_own_read(now);
    }
}

void config_follower::want_own_read(const steady_time now) {
    const auto at = now + options_.own_read_after + jitter(options_.own_read_jitter);
    if (ready_) {
        reads_.want_at(at);
    } else {
        reads_.want_by(at);
    }
}

void config_follower::update_ready() {
    const auto caught_up = position() && position() >= peers_.highest();
    ready_ = ready_ || (reads_.failing() && caught_up && enough_peers_heard());
}

bool config_follower::enough_peers_heard() const {
    const auto members = options_.all_peers();
    const auto others =
        members.size() - static_cast<std::size_t>(std::count(members.begin(), members.end(), options_.self));
    return peers_.size() >= std::clamp(others, std::size_t{1}, ready_peers);
}

void config_follower::on_timer(const time_sample now) {
    check_role(now.steady);
    pull_if_due(now.steady);
    write_checkpoint_if_due(now.steady);
    read_if_due(now.steady);
}

void config_follower::check_role(const steady_time now) {
    if (!role_check_at_ || now < *role_check_at_) {
        return;
    }
    role_check_at_ = now + options_.role_check;
    reads_.set_relay(internal::is_relay(options_.self, options_.data_centre_peers()));
}

void config_follower::pull_if_due(const steady_time now) {
    if (!pull_at_ || now < *pull_at_) {
        return;
    }
    pull_at_ = now + options_.pull_timeout;
    if (const auto peer = peers_.pick(position(), asked_, random_)) {
        asked_ = *peer;
        options_.send_pull(*peer, {.after = position()});
    }
}

void config_follower::read_if_due(const steady_time now) {
    const auto due = reads_.next();
    if (!due || now < *due) {
        return;
    }
    const auto wait = reads_.may_wait() ? options_.long_poll : std::chrono::milliseconds{};
    reads_.started(now);
    options_.read_log(scan_.cursor().value_or(position()), wait);
}

void config_follower::write_checkpoint_if_due(const steady_time now) {
    if (now < checkpoints_.next()) {
        return;
    }
    if (!ready_ || !position()) {
        checkpoints_.postpone(now);
        return;
    }
    const auto rank = [this] {
        return internal::checkpoint_rank(options_.self, options_.all_peers());
    };
    if (checkpoints_.due(now, rank)) {
        for (auto& part : reducer_.make_checkpoint()) {
            options_.append_record(std::move(part));
        }
    }
}

std::optional<steady_time> config_follower::next_timer() const {
    if (!role_check_at_) {
        return std::nullopt;
    }
    auto next = std::min(*role_check_at_, checkpoints_.next());
    next = std::min(next, pull_at_.value_or(next));
    return std::min(next, reads_.next().value_or(next));
}

void config_follower::count(const drop_reason reason) {
    if (options_.counts != nullptr) {
        options_.counts->drops.add(reason);
    }
}

std::chrono::milliseconds config_follower::jitter(const std::chrono::milliseconds longest) {
    return std::chrono::milliseconds{
        std::uniform_int_distribution<std::chrono::milliseconds::rep>{0, longest.count()}(random_)};
}

} // namespace goldcrestwell
