#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_UPSTREAM_INDEX_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_UPSTREAM_INDEX_HPP

#include "goldcrestwell/core/message/member.hpp"

#include <map>
#include <vector>

namespace goldcrestwell {

/** @brief Index of the live nodes by data centre and by service and version of their local upstream. */
class upstream_index {
public:
    /** @param before The replaced record, or null. */
    void update(const member* before, const member& after);
    void erase(const member& record);

    /** @brief Returns the live nodes with a local upstream of this version, in order of id. */
    [[nodiscard]] const std::vector<node_id>& upstreams(const service_name& service,
                                                        const upstream_version& version) const;
    /** @brief Returns the live nodes with a local upstream of the service, in order of id. */
    [[nodiscard]] std::vector<node_id> service_nodes(const service_name& service) const;
    /** @brief Returns the live nodes of a data centre, in order of id. */
    [[nodiscard]] const std::vector<node_id>& alive_in(const data_centre& name) const;
    /** @brief Returns all live nodes, in order of id. */
    [[nodiscard]] std::vector<node_id> alive() const;
    /** @brief Checks whether the node is indexed under the service and version of the upstream. */
    [[nodiscard]] bool contains(node_id id, const upstream_info& upstream) const;

private:
    void add(const member& record);

    std::map<service_name, std::map<upstream_version, std::vector<node_id>>> services_;
    std::map<data_centre, std::vector<node_id>> data_centres_;
    std::vector<node_id> no_nodes_;
};

} // namespace goldcrestwell

#endif
