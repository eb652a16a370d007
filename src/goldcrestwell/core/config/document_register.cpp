#include "goldcrestwell/core/config/document_register.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace goldcrestwell {

document_register::document_register(document_register_options options) : options_{std::move(options)} {}

void document_register::on_records(const std::span<const operator_record> records, const log_offset through) {
    std::vector<const operator_record*> sorted_records;
    sorted_records.reserve(records.size());
    for (const auto& record : records) {
        sorted_records.push_back(&record);
    }
    std::ranges::stable_sort(sorted_records, {}, &operator_record::offset);
    position_ = std::max(position_, through);
    if (pull_ && pull_->position <= position_ && !pull_->is_full) {
        pull_.reset();
    }
    for (const auto* record : sorted_records) {
        auto& known = newest_records_[record->key];
        if (record->offset == known.offset) {
            continue;
        }
        // What the store has lost may be newer than its copy, whose offsets are higher.
        if (record->offset > known.offset || era_of(record->offset) < era_of(known.offset)) {
            if (options_.record_changed(*record) || known.offset == log_offset{}) {
                known = *record;
            }
        } else if (options_.record_outdated) {
            options_.record_outdated(*record, known.offset);
        }
    }
}

bool document_register::lacks_peer_records() const noexcept {
    return peer_records_era_ < era_of(position_);
}

void document_register::on_peer_position(const node_id from, const log_offset position, const steady_time now) {
    const auto is_full = lacks_peer_records() && position != log_offset{};
    if (position <= position_ && !is_full) {
        return;
    }
    const auto same_data_centre = options_.is_in_same_data_centre && options_.is_in_same_data_centre(from);
    const auto standby = options_.is_on_standby && options_.is_on_standby();
    // A pull from a remote peer is delayed on standby too, so that one node of the data centre fetches a change and the
    // others get it from that node.
    const auto delay = standby ? (same_data_centre ? std::chrono::milliseconds{} : options_.standby_remote_pull_delay)
                               : (same_data_centre ? options_.same_data_centre_pull_delay : options_.pull_delay);
    const auto due = now + delay;
    if (!pull_) {
        pull_ = pending_pull{.from = from, .position = position, .due = due, .is_full = is_full};
    } else if (position > pull_->position || (same_data_centre && position == pull_->position)) {
        pull_->from = from;
        pull_->position = position;
        pull_->is_full = pull_->is_full || is_full;
        pull_->due = std::min(pull_->due, due);
    } else if (pull_->sent) {
        // The peer may have ended before it replied, so the next pull is sent to another one that is ahead.
        pull_->from = from;
        pull_->position = position;
    }
}

const std::string& document_register::packed_payload(const operator_record& record) {
    auto& known = packed_[record.key];
    if (known.offset != record.offset) {
        known = {.offset = record.offset, .payload = options_.pack ? options_.pack(record.payload) : record.payload};
    }
    return known.payload;
}

void document_register::on_pull(const node_id from, const document_pull& pull) {
    document_batch batch{.through = position_};
    for (const auto& [key, record] : newest_records_) {
        if (record.offset > pull.after) {
            batch.records.push_back({.offset = record.offset, .key = key, .payload = packed_payload(record)});
        }
    }
    options_.send_batch(from, batch);
}

void document_register::on_batch(const document_batch& batch) {
    auto records = batch.records;
    for (auto& record : records) {
        if (!options_.unpack) {
            break;
        }
        auto payload = options_.unpack(record.payload);
        if (!payload) {
            options_.record_unreadable(record);
            return;
        }
        record.payload = std::move(*payload);
    }
    peer_records_era_ = std::max(peer_records_era_, era_of(std::max(position_, batch.through)));
    if (pull_ && pull_->is_full) {
        pull_.reset();
    }
    on_records(records, batch.through);
}

void document_register::on_timer(const steady_time now) {
    if (pull_ && now >= pull_->due) {
        pull_->due = now + options_.pull_retry_delay;
        pull_->sent = true;
        options_.send_pull(pull_->from, {.after = pull_->is_full ? log_offset{} : position_});
    }
}

std::optional<steady_time> document_register::next_timer() const noexcept {
    return pull_ ? std::optional{pull_->due} : std::nullopt;
}

} // namespace goldcrestwell
