#include "goldcrestwell/cli/process_options.hpp"
#include "goldcrestwell/core/common/memory_budget.hpp"
#include "goldcrestwell/core/node/resource_shares.hpp"
#include "goldcrestwell/shell/allocator.hpp"

#include <algorithm>
#include <memory>

namespace goldcrestwell {

namespace {

constexpr std::size_t bytes_per_mb = 1'000'000;

} // namespace

void apply_limits(const resource_settings& limits, node_process_options& options) {
    const auto shares = divide_resources(limits.memory_mb * bytes_per_mb, limits.max_fds);
    options.memory = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = shares.buffer_bytes,
                                                                           .small_use_bytes = shares.small_buffer_bytes,
                                                                           .trim = release_free_memory});
    options.core.max_attempt_ids = shares.attempt_ids;
    options.core.max_archived_response_bytes = shares.archive_bytes;
    options.callers.server.max_connections = shares.caller_connections;
    options.admin.max_connections = shares.service_connections;
    options.max_peer_connections = shares.peer_connections;
    options.upstream.max_connections = std::min(options.upstream.max_connections, shares.upstream_connections);
}

} // namespace goldcrestwell
