// Prints what the configuration module costs as the table grows; times are the best of several runs.
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
constexpr int runs = 5;

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

microseconds timed(const std::function<void()>& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::steady_clock::now() - start;
}

microseconds best_of(const std::function<void()>& work) {
    auto best = timed(work);
    for (int run = 1; run < runs; ++run) {
        best = std::min(best, timed(work));
    }
    return best;
}

std::unique_ptr<table_reducer> filled(const std::uint64_t rows) {
    auto reducer = std::make_unique<table_reducer>(table_reducer_options{});
    for (std::uint64_t row = 0; row < rows; ++row) {
        reducer->apply(edit_of(row, log_offset{}, row + 1));
    }
    return reducer;
}

// One edit of one row; the decoded record is made before the time is taken.
microseconds apply_one(table_reducer& reducer, const std::uint64_t rows) {
    constexpr std::uint64_t edits = 1'000;
    const auto first = reducer.position().value() + 1;
    microseconds total{};
    for (std::uint64_t edit = 0; edit < edits; ++edit) {
        const auto row = edit * 7'919 % rows;
        const auto* known = reducer.snapshot()->find_row(key_of(row));
        const auto record = edit_of(row, known->row_version, first + edit);
        total += timed([&] { reducer.apply(record); });
    }
    return total / edits;
}

void measure(const std::uint64_t rows) {
    const auto heap_before = heap_in_use();
    const auto reducer = filled(rows);
    const auto bytes = heap_in_use() - heap_before;
    const auto apply = apply_one(*reducer, rows);
    const auto take = best_of([&] {
                          for (int count = 0; count < 1'000; ++count) {
                              static_cast<void>(reducer->snapshot());
                          }
                      }) /
                      1'000;
    const auto visit = best_of([&] { static_cast<void>(reducer->snapshot()->rows()); });
    std::vector<checkpoint_part> parts;
    const auto checkpoint = best_of([&] { parts = reducer->make_checkpoint(); });
    const auto restore = best_of([&] {
        table_reducer copy{table_reducer_options{}};
        if (!copy.restore(parts)) {
            std::puts("restore failed");
        }
    });
    const auto per_row = static_cast<double>(rows);
    std::printf("%9llu %14.2f %16.3f %16.3f %18.3f %16.3f %14.0f %8zu\n", static_cast<unsigned long long>(rows),
                apply.count(), take.count(), visit.count() / per_row, checkpoint.count() / per_row,
                restore.count() / per_row, static_cast<double>(bytes) / per_row, parts.size());
}

} // namespace

int main() { // NOLINT(bugprone-exception-escape): a measurement may end by an exception
    std::printf("%9s %14s %16s %16s %18s %16s %14s %8s\n", "rows", "edit [us]", "snapshot [us]", "list [us/row]",
                "checkpoint [us/row]", "restore [us/row]", "memory [B/row]", "parts");
    for (const auto rows : table_sizes) {
        measure(rows);
    }
    return 0;
}
