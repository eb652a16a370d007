#include "goldcrestwell/shell/metrics_text.hpp"

#include "goldcrestwell/core/common/memory_budget.hpp"
#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/position_view.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

namespace {

constexpr std::string_view prefix = "goldcrestwell_";

/** @brief Writes metrics in the Prometheus text format. */
class metrics_writer {
public:
    void declare(const std::string_view name, const std::string_view type, const std::string_view help) {
        append_line({"# HELP ", prefix, name, " ", help});
        append_line({"# TYPE ", prefix, name, " ", type});
    }

    void value(const std::string_view name, const std::string_view labels, const std::string_view number) {
        append_line({prefix, name, labels, " ", number});
    }

    void write_metric(const std::string_view name, const std::string_view type, const std::string_view help,
                      const std::uint64_t number) {
        declare(name, type, help);
        value(name, "", std::to_string(number));
    }

    template <typename Enum, std::size_t Count>
    void write_counters(const std::string_view name, const std::string_view label, const std::string_view help,
                        const enum_counters<Enum, Count>& counts) {
        declare(name, "counter", help);
        for (std::size_t index = 0; index < Count; ++index) {
            const auto enumerator = static_cast<Enum>(index);
            if (to_string(enumerator) != "none") {
                value(name, format_label(label, to_string(enumerator)), std::to_string(counts[enumerator]));
            }
        }
    }

    [[nodiscard]] static std::string format_label(const std::string_view label, const std::string_view text) {
        std::string result{"{"};
        result.append(label).append("=\"").append(text).append("\"}");
        return result;
    }

    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    void append_line(const std::initializer_list<std::string_view> parts) {
        for (const auto part : parts) {
            text_ += part;
        }
        text_ += '\n';
    }

    std::string text_;
};

std::string format_seconds(const std::chrono::microseconds time) {
    return std::to_string(std::chrono::duration<double>{time}.count());
}

void write_calls(metrics_writer& writer, const node& core) {
    const auto& counts = core.counts();
    writer.write_metric("calls_total", "counter", "Calls received from callers.", counts.calls);
    writer.write_metric("calls_answered_total", "counter", "Calls that received an upstream's response.",
                        counts.answered);
    writer.write_metric("calls_in_progress", "gauge", "Calls and attempts in progress.", core.in_progress());
    writer.write_counters("call_refusals_total", "reason", "Calls from callers that were refused.", counts.refusals);
    writer.write_counters("attempt_refusals_total", "reason", "Attempts from other nodes that were refused.",
                          counts.attempt_refusals);
    writer.write_counters("call_retries_total", "reason", "Retries of attempts.", counts.retries);
    writer.write_counters("drops_total", "reason", "Dropped messages and connections.", counts.drops);
    writer.write_counters("records_skipped_total", "reason", "Records of the operators without effect.",
                          counts.record_skips);
    writer.write_metric("call_lines_omitted_total", "counter", "Answered calls without a log line.",
                        counts.omitted_call_lines);
}

void write_latency(metrics_writer& writer, const std::string& name, const std::string_view help,
                   const latency_summary& latency) {
    writer.declare(name, "summary", help);
    for (std::size_t index = 0; index < latency_summary::quantiles.size(); ++index) {
        writer.value(name, metrics_writer::format_label("quantile", std::to_string(latency_summary::quantiles[index])),
                     format_seconds(latency.quantile(index)));
    }
    writer.value(name + "_sum", "", format_seconds(latency.sum()));
    writer.value(name + "_count", "", std::to_string(latency.count()));
}

void write_latencies(metrics_writer& writer, const node& core) {
    write_latency(writer, "call_seconds", "Time from a caller's request to its result.", core.call_latency());
    write_latency(writer, "queue_seconds", "Time of attempts in the queue of the local upstream.",
                  core.queue_latency());
    write_latency(writer, "upstream_seconds", "Time of attempts at the local upstream.", core.upstream_latency());
}

void write_membership(metrics_writer& writer, const membership& members) {
    const auto& counts = members.counts();
    const auto alive = std::count_if(members.members().begin(), members.members().end(),
                                     [](const auto& entry) { return entry.second.status == member_status::alive; });
    writer.write_metric("members", "gauge", "Membership records.", members.members().size());
    writer.write_metric("members_alive", "gauge", "Members that are alive.", static_cast<std::uint64_t>(alive));
    writer.write_metric("probes_total", "counter", "Direct probes sent.", counts.probes);
    writer.write_metric("probes_failed_total", "counter", "Probes without an acknowledgement.", counts.failed_probes);
    writer.write_metric("suspicions_total", "counter", "Suspicions raised.", counts.suspicions);
    writer.write_metric("refutations_total", "counter", "Suspicions of this node refuted.", counts.refutations);
    writer.write_metric("deaths_total", "counter", "Members declared dead.", counts.deaths);
    writer.write_metric("region_cuts_total", "counter", "Regions marked unreachable.", counts.partitions);
    writer.write_metric("pauses_total", "counter", "Detected pauses of this process.", counts.pauses);
    writer.write_counters("control_bytes_total", "priority", "Control bytes sent.", counts.bytes);
    writer.write_counters("control_withheld_total", "priority", "Control messages withheld by the byte budget.",
                          counts.withheld);
}

void write_store(metrics_writer& writer, const store_history& history) {
    writer.write_metric("store_era", "gauge", "Latest era that the store has reported.",
                        history.era().value_or(store_era{}).value());
    writer.write_metric("store_histories_replaced_total", "counter", "Returns of the store from an older copy.",
                        history.replacements());
    writer.write_metric("stale_store_responses_total", "counter", "Ignored responses of an earlier era of the store.",
                        history.stale_responses());
    writer.write_metric("store_responses_without_era_total", "counter", "Responses of the store without their era.",
                        history.responses_without_era());
}

void write_invariants(metrics_writer& writer, const invariant_monitor& invariants) {
    writer.declare("invariant_violations_total", "counter", "Violated invariants.");
    for (std::size_t index = 0; index < invariant_id_count; ++index) {
        const auto id = static_cast<invariant_id>(index);
        writer.value("invariant_violations_total", metrics_writer::format_label("invariant", to_string(id)),
                     std::to_string(invariants.violations(id)));
    }
}

} // namespace

std::string metrics_text(const node& core, const process_usage& usage, const memory_budget* memory) {
    metrics_writer writer;
    writer.write_metric("ready", "gauge", "1 if the node serves calls.", core.ready() ? 1 : 0);
    const auto position = position_view::of(core.position(), core.operators() != nullptr);
    writer.write_metric("config_position", "gauge", "Number of the last log record that was read.", position.number);
    if (position.era) {
        writer.write_metric("config_era", "gauge", "Era of the last record that was read.", position.era->value());
    }
    writer.write_metric("config_version", "gauge", "Version of the current configuration.", core.config_version());
    write_calls(writer, core);
    write_latencies(writer, core);
    write_membership(writer, core.members());
    if (core.operators() != nullptr) {
        write_store(writer, core.history());
    }
    write_invariants(writer, core.invariants());
    writer.declare("process_seconds_total", "counter", "Processor time used by this process.");
    writer.value("process_seconds_total", "", format_seconds(usage.processor_time));
    writer.write_metric("process_peak_memory_bytes", "gauge", "Peak resident memory.", usage.peak_memory_bytes);
    if (memory != nullptr) {
        writer.write_metric("buffer_memory_limit_bytes", "gauge", "Memory for buffers.", memory->capacity());
        writer.write_metric("buffer_memory_bytes", "gauge", "Memory reserved for buffers.", memory->used());
        writer.write_metric("buffer_memory_peak_bytes", "gauge", "Peak memory reserved for buffers.", memory->peak());
        writer.write_metric("buffer_memory_refusals_total", "counter", "Refused reservations of memory for buffers.",
                            memory->refusals());
    }
    return writer.take();
}

} // namespace goldcrestwell
