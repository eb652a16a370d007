#include "goldcrestwell/shell/table_view.hpp"

#include "goldcrestwell/core/node/node.hpp"

#include <map>

namespace goldcrestwell {

std::vector<table_line> table_lines(const node& core, const wall_time now) {
    std::map<row_key, row_status> statuses;
    for (const auto& status : core.rollout().statuses(now)) {
        statuses.emplace(status.key, status);
    }
    std::vector<table_line> lines;
    for (const auto& row : core.follower().reducer().snapshot()->rows()) {
        table_line line{.key = row.key, .row_version = row.row_version, .values = row.values};
        if (const auto found = statuses.find(row.key); found != statuses.end()) {
            const auto& status = found->second;
            line.state = status.state;
            line.share = status.share;
            line.reason = status.reason == row_reason::none ? "" : to_string(status.reason);
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace goldcrestwell
