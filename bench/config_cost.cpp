// Measures time and memory of the configuration module for tables of different sizes; each time is the minimum of
// several runs.
#include "goldcrestwell/core/config/table_reducer.hpp"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace goldcrestwell;

namespace {

using microseconds = std::chrono::duration<double, std::micro>;

constexpr std::array<std::uint64_t, 4> table_sizes{100, 1'000, 10'000, 100'000};
constexpr std::uint64_t rows_per_route = 4;
constexpr int repetitions = 5;

row_key key_of(const std::uint64_t row) {
    return {.route = {"/region/service-" + std::to_string(row / rows_per_route) + "/orders"},
            .version = {"2026.12." + std::to_string(row % rows_per_route)}};
}

sequenced_record edit_of(const std::uint64_t row, const log_offset expected, const std::uint64_t at) {
    sequenced_record record;
    record.offset = log_offset{at};
    record.record =
        table_edit{.id = {.high = 1, .low = at},
                   .created_at = {},
                   .changes = {{.key = key_of(row),
                                .expected = expected,
                                .values = row_values{.service = {"service-" + std::to_string(row / rows_per_route)},
                                                     .weight = 1 + static_cast<std::uint32_t>(at % 900)}}}};
    return record;
}

std::size_t heap_in_use() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

microseconds measure_duration(const std::function<void()>& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::steady_clock::now() - start;
}

microseconds min_duration(const std::function<void()>& work) {
    auto best = measure_duration(work);
    for (int run = 1; run < repetitions; ++run) {
        best = std::min(best, measure_duration(work));
    }
    return best;
}

std::unique_ptr<table_reducer> make_filled_reducer(const std::uint64_t rows) {
    auto reducer = std::make_unique<table_reducer>(table_reducer_options{});
    for (std::uint64_t row = 0; row < rows; ++row) {
        reducer->apply(edit_of(row, log_offset{}, row + 1));
    }
    return reducer;
}

// Returns the mean duration of an edit of one row; the record is built outside the measured time.
microseconds mean_edit_duration(table_reducer& reducer, const std::uint64_t rows) {
    constexpr std::uint64_t edits = 1'000;
    const auto first = reducer.position().value() + 1;
    microseconds total{};
    for (std::uint64_t edit = 0; edit < edits; ++edit) {
        const auto row = edit * 7'919 % rows;
        const auto* current_row = reducer.snapshot()->find_row(key_of(row));
        const auto record = edit_of(row, current_row->row_version, first + edit);
        total += measure_duration([&] { reducer.apply(record); });
    }
    return total / edits;
}

void measure(const std::uint64_t rows) {
    const auto heap_before = heap_in_use();
    const auto reducer = make_filled_reducer(rows);
    const auto heap_bytes = heap_in_use() - heap_before;
    const auto edit_duration = mean_edit_duration(*reducer, rows);
    const auto snapshot_duration = min_duration([&] {
                                       for (int count = 0; count < 1'000; ++count) {
                                           static_cast<void>(reducer->snapshot());
                                       }
                                   }) /
                                   1'000;
    const auto list_duration = min_duration([&] { static_cast<void>(reducer->snapshot()->rows()); });
    std::vector<checkpoint_part> parts;
    const auto checkpoint_duration = min_duration([&] { parts = reducer->make_checkpoint(); });
    const auto restore_duration = min_duration([&] {
        table_reducer restored{table_reducer_options{}};
        if (!restored.restore(parts)) {
            std::puts("restore failed");
        }
    });
    const auto row_count = static_cast<double>(rows);
    std::printf("%9llu %14.2f %16.3f %16.3f %18.3f %16.3f %14.0f %8zu\n", static_cast<unsigned long long>(rows),
                edit_duration.count(), snapshot_duration.count(), list_duration.count() / row_count,
                checkpoint_duration.count() / row_count, restore_duration.count() / row_count,
                static_cast<double>(heap_bytes) / row_count, parts.size());
}

} // namespace

int main() { // NOLINT(bugprone-exception-escape): a benchmark may terminate with an exception
    std::printf("%9s %14s %16s %16s %18s %16s %14s %8s\n", "rows", "edit [us]", "snapshot [us]", "list [us/row]",
                "checkpoint [us/row]", "restore [us/row]", "memory [B/row]", "parts");
    for (const auto rows : table_sizes) {
        measure(rows);
    }
    return 0;
}
