#ifndef GOLDCRESTWELL_TEST_CORE_CONFIG_TABLE_SUPPORT_HPP
#define GOLDCRESTWELL_TEST_CORE_CONFIG_TABLE_SUPPORT_HPP

#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/message/sequenced_record.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestwell::test {

inline constexpr wall_time edit_time{std::chrono::milliseconds{1'000'000}};

inline row_key make_key(const std::string& route, const std::string& version) {
    return {.route = {route}, .version = {version}};
}

inline row_change set_row(const row_key& key, const std::uint32_t weight, const std::uint64_t expected = 0) {
    return {.key = key,
            .expected = log_offset{expected},
            .values = row_values{.service = {"desk"}, .weight = weight, .deadline = {}, .limits = {}}};
}

inline row_change remove_row(const row_key& key, const std::uint64_t expected) {
    return {.key = key, .expected = log_offset{expected}, .values = {}};
}

inline sequenced_record edit_at(const std::uint64_t offset, std::vector<row_change> changes,
                                const std::uint64_t id = 0) {
    return {.offset = log_offset{offset},
            .record = table_edit{.id = {.high = 1, .low = id != 0 ? id : offset},
                                 .created_at = edit_time,
                                 .changes = std::move(changes)}};
}

inline sequenced_record rollout_record_at(const std::uint64_t offset, const row_key& key,
                                          const std::uint64_t row_version, const rollout_state& state) {
    return {.offset = log_offset{offset},
            .record = rollout_record{.key = {.row = key, .row_version = log_offset{row_version}}, .state = state}};
}

inline invariant_monitor failing_monitor() {
    return invariant_monitor{[](const invariant_id id) {
        BOOST_ERROR("invariant violated: " << to_string(id));
    }};
}

} // namespace goldcrestwell::test

#endif
