#include "goldcrestwell/platform/store_client.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/platform/names.hpp"
#include "goldcrestwell/platform/store_codec.hpp"
#include "goldcrestwell/shell/http_headers.hpp"

#include <event2/http.h>

#include <cstdlib>
#include <utility>

namespace goldcrestwell {

namespace {

// A page of the store holds at most 1 MB of records, which base64 and JSON make up to half as large again.
constexpr std::size_t max_store_response_bytes = std::size_t{4} << 20U;
constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_gone = 410;

bool has_status(const upstream_result& result, const std::uint32_t status) {
    return result.outcome == upstream_outcome::answered && result.response.status == status;
}

std::string encode_uri(const std::string_view text) {
    const std::unique_ptr<char, decltype(&std::free)> encoded{
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free};
    return encoded ? encoded.get() : "";
}

std::string request_target(const std::string_view path, const std::string_view topic) {
    // All topics that a node uses have a single partition.
    return std::string{path}.append("?topic=").append(topic).append("&part=0");
}

http_client_request append_request(std::string target, const std::string_view key, const std::string_view payload,
                                   const std::chrono::milliseconds timeout) {
    return {.method = "POST",
            .target = std::move(target),
            .headers = {{.name = "Content-Type", .value = "application/octet-stream"}},
            .body = encode_record(key, payload),
            .timeout = timeout};
}

} // namespace

store_client::store_client(event_loop& loop, store_client_options options)
    : loop_{loop}, options_{std::move(options)} {}

void store_client::read_newest(const std::string_view topic, page_hook done) {
    read_newest_page(std::string{topic}, {.outcome = read_outcome::ok}, {},
                     std::make_shared<memory_reservation>(options_.memory), std::move(done));
}

// The result has the end position of the first page, so that records written while further pages are read are not
// skipped by the next read.
void store_client::read_newest_page(std::string topic, store_page collected, const std::string& after_key,
                                    std::shared_ptr<memory_reservation> memory, page_hook done) {
    auto target = request_target(platform_names::newest_path, topic);
    if (!after_key.empty()) {
        target.append("&after=").append(encode_uri(after_key));
    }
    enqueue({.target = std::move(target), .timeout = options_.timeout},
            [this, topic = std::move(topic), collected = std::move(collected), after_key, memory = std::move(memory),
             done = std::move(done)](const upstream_result& result, const std::optional<store_era> era) mutable {
                auto page = era && has_status(result, status_ok) ? decode_newest_page(result.response.body, *era)
                                                                 : std::nullopt;
                // Pages of two histories do not make up one state of the topic.
                if (page && !after_key.empty() && era_of(page->end) != era_of(collected.end)) {
                    page.reset();
                }
                // The pages that were read before stay in memory until the last one has arrived.
                if (!page || !memory->resize(memory->size() + result.response.body.size(), memory_use::small)) {
                    done({.outcome = read_outcome::failed});
                    return;
                }
                if (after_key.empty()) {
                    collected.end = page->end;
                }
                report_skipped(topic, page->skipped);
                collected.records.insert(collected.records.end(), std::make_move_iterator(page->records.begin()),
                                         std::make_move_iterator(page->records.end()));
                // A page that does not advance would be read for ever.
                if (!page->next_after.empty() && page->next_after != after_key) {
                    read_newest_page(std::move(topic), std::move(collected), page->next_after, std::move(memory),
                                     std::move(done));
                    return;
                }
                done(collected);
            });
}

void store_client::read_after(const std::string_view topic, const log_offset after,
                              const std::chrono::milliseconds wait, page_hook done) {
    // A position is the number of records before it. The store counts offsets from zero, so this is also the offset of
    // the next record.
    const auto from = number_of(after);
    auto target = request_target(platform_names::read_path, topic);
    target.append("&from=").append(std::to_string(from)).append("&wait_ms=").append(std::to_string(wait.count()));
    ensure_connection(poll_connection_)
        .send({.target = std::move(target), .timeout = wait + options_.timeout},
              [this, topic = std::string{topic}, done = std::move(done), from](const upstream_result& result) {
                  const auto era = identify_era(result);
                  if (era && has_status(result, status_gone)) {
                      done({.outcome = read_outcome::expired, .end = make_store_offset(*era, 0)});
                      return;
                  }
                  auto page = era && has_status(result, status_ok)
                                  ? decode_record_page(result.response.body, from, *era)
                                  : std::nullopt;
                  if (!page) {
                      done({.outcome = read_outcome::failed});
                      return;
                  }
                  report_skipped(topic, page->skipped);
                  done({.outcome = read_outcome::ok, .records = std::move(page->records), .end = page->end});
              });
}

void store_client::append(const std::string_view topic, const std::string_view key, const std::string_view payload,
                          const std::optional<log_offset> expected_end, append_hook done) {
    auto target = request_target(platform_names::append_path, topic);
    if (expected_end) {
        target.append("&at=").append(std::to_string(number_of(*expected_end)));
    }
    const auto required_era = expected_end ? std::optional{era_of(*expected_end)} : std::nullopt;
    enqueue(
        append_request(std::move(target), key, payload, options_.timeout),
        [required_era, done = std::move(done)](const upstream_result& result, const std::optional<store_era> era) {
            const auto is_expected = era && (!required_era || *required_era == *era);
            done(is_expected && has_status(result, status_ok));
        },
        required_era);
}

void store_client::append_at_once(const std::string_view topic, const std::string_view key,
                                  const std::string_view payload, const std::chrono::milliseconds timeout,
                                  append_hook done) {
    ensure_connection(urgent_connection_)
        .send(append_request(request_target(platform_names::append_path, topic), key, payload, timeout),
              [this, done = std::move(done)](const upstream_result& result) {
                  done(identify_era(result).has_value() && has_status(result, status_ok));
              });
}

std::optional<store_era> store_client::identify_era(const upstream_result& result) {
    if (result.outcome != upstream_outcome::answered) {
        return std::nullopt;
    }
    const auto header = find_header(result.response.headers, platform_names::store_era);
    const auto era = options_.response_received(header ? decode_era(*header) : std::nullopt);
    era_ = era.value_or(era_);
    return era;
}

void store_client::report_skipped(const std::string_view topic, const std::size_t count) const {
    if (count > 0) {
        options_.records_skipped(topic, count);
    }
}

void store_client::enqueue(http_client_request request, result_hook done, const std::optional<store_era> required_era) {
    queue_.push_back({.request = std::move(request), .done = std::move(done), .required_era = required_era});
    send_next_call();
}

void store_client::send_next_call() {
    if (call_in_progress_ || queue_.empty()) {
        return;
    }
    call_in_progress_ = true;
    auto next = std::move(queue_.front());
    queue_.pop_front();
    if (next.required_era && *next.required_era != era_) {
        loop_.defer([this, done = std::move(next.done)] {
            call_in_progress_ = false;
            done({}, std::nullopt);
            send_next_call();
        });
        return;
    }
    ensure_connection(call_connection_)
        .send(next.request, [this, done = std::move(next.done)](const upstream_result& result) {
            // The hooks of a later era may enqueue calls, which must not be sent before that era is known here.
            const auto era = identify_era(result);
            call_in_progress_ = false;
            done(result, era);
            send_next_call();
        });
}

http_connection& store_client::ensure_connection(std::unique_ptr<http_connection>& connection) {
    if (connection == nullptr || !connection->idle()) {
        connection =
            std::make_unique<http_connection>(loop_, options_.server,
                                              http_connection_options{.max_response_bytes = max_store_response_bytes,
                                                                      .memory = options_.memory,
                                                                      .counts_as_small = true,
                                                                      .connect_timeout = options_.timeout});
    }
    return *connection;
}

} // namespace goldcrestwell
