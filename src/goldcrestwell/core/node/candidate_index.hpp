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

/** @brief Live upstreams by service and version, those of the own data centre first. */
class candidate_index {
public:
    using size_type = std::size_t;

    explicit candidate_index(data_centre own) : own_{std::move(own)} {}

    /** @brief Takes over a changed membership record. */
    void update(const member& record, steady_time now);

    /** @return Candidates of a version; valid until the next update. */
    [[nodiscard]] std::span<const upstream_candidate> find(const service_name& service,
                                                           const upstream_version& version) const;

    /** @return Nodes beside a live upstream. */
    [[nodiscard]] size_type size() const noexcept { return places_.size(); }

private:
    using key_type = std::pair<service_name, upstream_version>;
    struct place {
        key_type key;
        incarnation start_incarnation;
        std::uint64_t generation{};
        steady_time since;
    };

    void remove(node_id node);

    data_centre own_;
    std::map<node_id, place> places_;
    std::map<key_type, std::vector<upstream_candidate>> candidates_;
};

} // namespace goldcrestwell

#endif
