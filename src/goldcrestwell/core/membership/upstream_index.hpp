#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_UPSTREAM_INDEX_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_UPSTREAM_INDEX_HPP

#include "goldcrestwell/core/message/member.hpp"

#include <map>
#include <vector>

namespace goldcrestwell {

/** @brief Nodes that are alive, by data centre and by service and version of the upstream beside them. */
class upstream_index {
public:
    /** @param before The replaced record, or null. */
    void update(const member* before, const member& after);
    void erase(const member& record);

    /** @return Nodes in order of id. */
    [[nodiscard]] const std::vector<node_id>& upstreams(const service_name& service,
                                                        const upstream_version& version) const;
    /** @return Nodes in order of id. */
    [[nodiscard]] std::vector<node_id> service_nodes(const service_name& service) const;
    /** @return Nodes in order of id. */
    [[nodiscard]] const std::vector<node_id>& alive_in(const data_centre& name) const;
    /** @return Nodes in order of id. */
    [[nodiscard]] std::vector<node_id> alive() const;
    /** @return True if the node is listed beside the upstream. */
    [[nodiscard]] bool lists(node_id id, const upstream_info& upstream) const;

private:
    void add(const member& record);

    std::map<service_name, std::map<upstream_version, std::vector<node_id>>> services_;
    std::map<data_centre, std::vector<node_id>> data_centres_;
    std::vector<node_id> none_;
};

} // namespace goldcrestwell

#endif
