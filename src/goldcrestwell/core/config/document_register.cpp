#include "goldcrestwell/core/config/document_register.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace goldcrestwell {

document_register::document_register(document_register_options options) : options_{std::move(options)} {}

void document_register::on_records(const std::span<const operator_record> records, const log_offset through) {
    std::vector<const operator_record*> ordered;
    ordered.reserve(records.size());
    for (const auto& record : records) {
        ordered.push_back(&record);
    }
    std::ranges::stable_sort(ordered, {}, &operator_record::offset);
    position_ = std::max(position_, through);
    if (pull_ && pull_->position <= position_) {
        pull_.reset();
    }
    for (const auto* record : ordered) {
        auto& known = newest_[record->key];
        if (record->offset > known.offset) {
            known = *record;
            options_.changed(known);
        }
    }
}

void document_register::on_peer_position(const node_id from, const log_offset position, const steady_time now) {
    if (position <= position_) {
        return;
    }
    const auto near = options_.near && options_.near(from);
    const auto standby = options_.on_standby && options_.on_standby();
    // A far peer is asked a little later also on standby, so that one near node fetches a change for the others.
    const auto wait = standby ? (near ? std::chrono::milliseconds{} : options_.pull_far_standby)
                              : (near ? options_.pull_near_after : options_.pull_after);
    const auto due = now + wait;
    if (!pull_) {
        pull_ = pending_pull{.from = from, .position = position, .due = due};
    } else if (position > pull_->position || (near && position == pull_->position)) {
        pull_->from = from;
        pull_->position = position;
        pull_->due = std::min(pull_->due, due);
    }
}

const std::string& document_register::packed(const operator_record& record) {
    auto& known = packed_[record.key];
    if (known.offset != record.offset) {
        known = {.offset = record.offset, .payload = options_.pack ? options_.pack(record.payload) : record.payload};
    }
    return known.payload;
}

void document_register::on_pull(const node_id from, const document_pull& pull) {
    document_batch batch{.through = position_};
    for (const auto& [key, record] : newest_) {
        if (record.offset > pull.after) {
            batch.records.push_back({.offset = record.offset, .key = key, .payload = packed(record)});
        }
    }
    options_.send_batch(from, batch);
}

void document_register::on_batch(const document_batch& batch) {
    if (!options_.unpack) {
        on_records(batch.records, batch.through);
        return;
    }
    auto records = batch.records;
    for (auto& record : records) {
        auto payload = options_.unpack(record.payload);
        if (!payload) {
            options_.unreadable(record);
            return;
        }
        record.payload = std::move(*payload);
    }
    on_records(records, batch.through);
}

void document_register::on_timer(const steady_time now) {
    if (pull_ && now >= pull_->due) {
        pull_->due = now + options_.pull_again;
        options_.send_pull(pull_->from, {.after = position_});
    }
}

std::optional<steady_time> document_register::next_timer() const noexcept {
    return pull_ ? std::optional{pull_->due} : std::nullopt;
}

} // namespace goldcrestwell
