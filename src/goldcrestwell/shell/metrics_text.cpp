#include "goldcrestwell/shell/metrics_text.hpp"

#include "goldcrestwell/core/node/node.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

namespace {

constexpr std::string_view prefix = "goldcrestwell_";

/** @brief Appends metrics in text form. */
class metrics_writer {
public:
    void declare(const std::string_view name, const std::string_view type, const std::string_view help) {
        line({"# HELP ", prefix, name, " ", help});
        line({"# TYPE ", prefix, name, " ", type});
    }

    void value(const std::string_view name, const std::string_view labels, const std::string_view number) {
        line({prefix, name, labels, " ", number});
    }

    void single(const std::string_view name, const std::string_view type, const std::string_view help,
                const std::uint64_t number) {
        declare(name, type, help);
        value(name, "", std::to_string(number));
    }

    template <typename Enum, std::size_t Count>
    void each(const std::string_view name, const std::string_view label, const std::string_view help,
              const enum_counters<Enum, Count>& counts) {
        declare(name, "counter", help);
        for (std::size_t index = 0; index < Count; ++index) {
            const auto value_of = static_cast<Enum>(index);
            if (to_string(value_of) != "none") {
                value(name, label_of(label, to_string(value_of)), std::to_string(counts[value_of]));
            }
        }
    }

    [[nodiscard]] static std::string label_of(const std::string_view label, const std::string_view text) {
        std::string result{"{"};
        result.append(label).append("=\"").append(text).append("\"}");
        return result;
    }

    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    void line(const std::initializer_list<std::string_view> parts) {
        for (const auto part : parts) {
            text_ += part;
        }
        text_ += '\n';
    }

    std::string text_;
};

std::string in_seconds(const std::chrono::microseconds time) {
    return std::to_string(std::chrono::duration<double>{time}.count());
}

void write_calls(metrics_writer& writer, const node& core) {
    const auto& counts = core.counts();
    writer.single("calls_total", "counter", "Calls received from callers.", counts.calls);
    writer.single("calls_answered_total", "counter", "Calls that got an upstream's answer.", counts.answered);
    writer.single("calls_in_progress", "gauge", "Calls and attempts in progress.", core.in_progress());
    writer.each("call_refusals_total", "reason", "Calls refused to callers.", counts.refusals);
    writer.each("attempt_refusals_total", "reason", "Attempts refused to other nodes.", counts.attempt_refusals);
    writer.each("call_retries_total", "reason", "Attempts made again.", counts.retries);
    writer.each("drops_total", "reason", "Inputs discarded.", counts.drops);
}

void write_latency(metrics_writer& writer, const std::string& name, const std::string_view help,
                   const latency_summary& latency) {
    writer.declare(name, "summary", help);
    for (std::size_t index = 0; index < latency_summary::quantiles.size(); ++index) {
        writer.value(name, metrics_writer::label_of("quantile", std::to_string(latency_summary::quantiles[index])),
                     in_seconds(latency.quantile(index)));
    }
    writer.value(name + "_sum", "", in_seconds(latency.sum()));
    writer.value(name + "_count", "", std::to_string(latency.count()));
}

void write_latencies(metrics_writer& writer, const node& core) {
    write_latency(writer, "call_seconds", "Time from a caller's request to its result.", core.call_latency());
    write_latency(writer, "queue_seconds", "Time of attempts in the queue of the own upstream.", core.queue_latency());
    write_latency(writer, "upstream_seconds", "Time of attempts at the own upstream.", core.upstream_latency());
}

void write_membership(metrics_writer& writer, const membership& members) {
    const auto& counts = members.counts();
    const auto alive = std::count_if(members.members().begin(), members.members().end(),
                                     [](const auto& entry) { return entry.second.status == member_status::alive; });
    writer.single("members", "gauge", "Membership records.", members.members().size());
    writer.single("members_alive", "gauge", "Members that are alive.", static_cast<std::uint64_t>(alive));
    writer.single("probes_total", "counter", "Direct probes sent.", counts.probes);
    writer.single("probes_failed_total", "counter", "Probes without an answer.", counts.failed_probes);
    writer.single("suspicions_total", "counter", "Suspicions raised.", counts.suspicions);
    writer.single("refutations_total", "counter", "Suspicions of this node refuted.", counts.refutations);
    writer.single("deaths_total", "counter", "Members declared dead.", counts.deaths);
    writer.single("region_cuts_total", "counter", "Regions marked unreachable.", counts.partitions);
    writer.single("pauses_total", "counter", "Pauses of this process noticed by itself.", counts.pauses);
    writer.each("control_bytes_total", "priority", "Control bytes sent.", counts.bytes);
    writer.each("control_withheld_total", "priority", "Control messages withheld by the byte budget.", counts.withheld);
}

void write_invariants(metrics_writer& writer, const invariant_monitor& invariants) {
    writer.declare("invariant_violations_total", "counter", "Violated invariants.");
    for (std::size_t index = 0; index < invariant_id_count; ++index) {
        const auto id = static_cast<invariant_id>(index);
        writer.value("invariant_violations_total", metrics_writer::label_of("invariant", to_string(id)),
                     std::to_string(invariants.violations(id)));
    }
}

} // namespace

std::string metrics_text(const node& core, const process_usage& usage) {
    metrics_writer writer;
    writer.single("ready", "gauge", "1 if the node serves calls.", core.ready() ? 1 : 0);
    writer.single("config_position", "gauge", "Offset of the last log record read.", core.position().value());
    writer.single("config_version", "gauge", "Version of the configuration in force.", core.config_version());
    write_calls(writer, core);
    write_latencies(writer, core);
    write_membership(writer, core.members());
    write_invariants(writer, core.invariants());
    writer.declare("process_seconds_total", "counter", "Processor time used.");
    writer.value("process_seconds_total", "", in_seconds(usage.processor_time));
    writer.single("process_peak_memory_bytes", "gauge", "Largest resident memory.", usage.peak_memory_bytes);
    return writer.take();
}

} // namespace goldcrestwell
