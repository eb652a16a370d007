#ifndef GOLDCRESTWELL_CORE_NODE_CANDIDATE_INDEX_HPP
#define GOLDCRESTWELL_CORE_NODE_CANDIDATE_INDEX_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/routing/upstream_candidate.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace goldcrestwell {

/** @brief Available upstreams by service and version, those of the local data centre first. */
class candidate_index {
public:
    using size_type = std::size_t;

    explicit candidate_index(data_centre local_data_centre) : local_data_centre_{std::move(local_data_centre)} {}

    /** @brief Applies a changed member record. */
    void update(const member& record, steady_time now);

    /** @return Upstreams of a version; valid until the next update. */
    [[nodiscard]] std::span<const upstream_candidate> find(const service_name& service,
                                                           const upstream_version& version) const;

    /** @return Number of available upstreams. */
    [[nodiscard]] size_type size() const noexcept { return indexed_.size(); }

private:
    using key_type = std::pair<service_name, upstream_version>;
    struct indexed_upstream {
        key_type key;
        incarnation start_incarnation;
        std::uint64_t generation{};
        steady_time announced_at;
    };

    void remove(node_id node);

    data_centre local_data_centre_;
    std::map<node_id, indexed_upstream> indexed_;
    std::map<key_type, std::vector<upstream_candidate>> candidates_;
};

} // namespace goldcrestwell

#endif
