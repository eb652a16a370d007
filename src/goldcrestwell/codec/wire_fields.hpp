#ifndef GOLDCRESTWELL_CODEC_WIRE_FIELDS_HPP
#define GOLDCRESTWELL_CODEC_WIRE_FIELDS_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <tuple>
#include <type_traits>

namespace goldcrestwell::internal {

/** @brief Selects the field list of a struct. */
template <typename T>
struct wire_tag {};

// The field lists, in wire order. Writer and reader share them, so that their encodings cannot differ.
// `Self` is the struct, const or not.
// clang-format off
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_id>) { return std::tie(v.origin, v.start_incarnation, v.sequence); }
template <typename Self> auto fields_of(Self& v, wire_tag<edit_id>) { return std::tie(v.high, v.low); }
template <typename Self> auto fields_of(Self& v, wire_tag<row_key>) { return std::tie(v.route, v.version); }
template <typename Self> auto fields_of(Self& v, wire_tag<row_limits>) { return std::tie(v.max_in_flight, v.max_connections, v.max_queue, v.timeout); }
template <typename Self> auto fields_of(Self& v, wire_tag<row_values>) { return std::tie(v.service, v.weight, v.deadline, v.limits, v.idempotent, v.on_thin_evidence); }
template <typename Self> auto fields_of(Self& v, wire_tag<row_change>) { return std::tie(v.key, v.expected, v.values); }
template <typename Self> auto fields_of(Self& v, wire_tag<table_row>) { return std::tie(v.key, v.row_version, v.changed_at, v.values); }
template <typename Self> auto fields_of(Self& v, wire_tag<rollout_key>) { return std::tie(v.row, v.row_version); }
template <typename Self> auto fields_of(Self& v, wire_tag<rollout_state>) { return std::tie(v.stage, v.done, v.rolled_back, v.reason, v.rechecks); }
template <typename Self> auto fields_of(Self& v, wire_tag<rollout_update>) { return std::tie(v.key, v.state); }
template <typename Self> auto fields_of(Self& v, wire_tag<upstream_info>) { return std::tie(v.service, v.version, v.slots, v.connections, v.generation, v.warm); }
template <typename Self> auto fields_of(Self& v, wire_tag<version_share>) { return std::tie(v.version, v.share); }
template <typename Self> auto fields_of(Self& v, wire_tag<route_base>) { return std::tie(v.route, v.shares); }
template <typename Self> auto fields_of(Self& v, wire_tag<edit_verdict>) { return std::tie(v.id, v.offset, v.reason, v.row); }
template <typename Self> auto fields_of(Self& v, wire_tag<http_header>) { return std::tie(v.name, v.value); }
template <typename Self> auto fields_of(Self& v, wire_tag<http_response>) { return std::tie(v.status, v.headers, v.body); }
template <typename Self> auto fields_of(Self& v, wire_tag<call_refusal>) { return std::tie(v.reason, v.state, v.retry_after); }
template <typename Self> auto fields_of(Self& v, wire_tag<call_request>) { return std::tie(v.method, v.host, v.request_id, v.target, v.headers, v.body, v.timeout, v.hops); }
template <typename Self> auto fields_of(Self& v, wire_tag<evidence_window>) { return std::tie(v.row, v.calls, v.failures, v.latencies); }
template <typename Self> auto fields_of(Self& v, wire_tag<sequenced_record>) { return std::tie(v.offset, v.record); }
template <typename Self> auto fields_of(Self& v, wire_tag<record_version>) { return std::tie(v.id, v.incarnation, v.status); }

template <typename Self> auto fields_of(Self& v, wire_tag<hello>) { return std::tie(v.sender, v.start_incarnation); }
template <typename Self> auto fields_of(Self&, wire_tag<heartbeat>) { return std::tie(); }
template <typename Self> auto fields_of(Self&, wire_tag<heartbeat_ack>) { return std::tie(); }
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_request>) { return std::tie(v.id, v.target_incarnation, v.route, v.service, v.version, v.idempotent, v.limits, v.objective, v.priority, v.call); }
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_reply>) { return std::tie(v.id, v.result, v.load); }
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_query>) { return std::tie(v.id, v.target_incarnation); }
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_status>) { return std::tie(v.id, v.progress); }
template <typename Self> auto fields_of(Self& v, wire_tag<attempt_cancel>) { return std::tie(v.id); }
template <typename Self> auto fields_of(Self& v, wire_tag<config_pull>) { return std::tie(v.after); }
template <typename Self> auto fields_of(Self& v, wire_tag<record_batch>) { return std::tie(v.after, v.records, v.through, v.head, v.first_retained); }
template <typename Self> auto fields_of(Self& v, wire_tag<evidence_report>) { return std::tie(v.from, v.windows); }
template <typename Self> auto fields_of(Self& v, wire_tag<operator_record>) { return std::tie(v.offset, v.key, v.payload); }
template <typename Self> auto fields_of(Self& v, wire_tag<document_pull>) { return std::tie(v.after); }
template <typename Self> auto fields_of(Self& v, wire_tag<document_batch>) { return std::tie(v.through, v.records); }
template <typename Self> auto fields_of(Self& v, wire_tag<upstream_departure>) { return std::tie(v.id, v.started); }
template <typename Self> auto fields_of(Self&, wire_tag<departure_query>) { return std::tie(); }
template <typename Self> auto fields_of(Self& v, wire_tag<departure_answer>) { return std::tie(v.departures); }
template <typename Self> auto fields_of(Self& v, wire_tag<sync_digest>) { return std::tie(v.buckets, v.rollouts); }
template <typename Self> auto fields_of(Self& v, wire_tag<sync_state>) { return std::tie(v.members, v.rollouts); }
template <typename Self> auto fields_of(Self& v, wire_tag<sync_list>) { return std::tie(v.records, v.more); }
template <typename Self> auto fields_of(Self& v, wire_tag<sync_request>) { return std::tie(v.ids); }

template <typename Self> auto fields_of(Self& v, wire_tag<datagram>) { return std::tie(v.sender, v.start_incarnation, v.sequence, v.target, v.position, v.members, v.rollouts); }

template <typename Self> auto fields_of(Self&, wire_tag<unreadable_record>) { return std::tie(); }
template <typename Self> auto fields_of(Self& v, wire_tag<table_edit>) { return std::tie(v.id, v.created_at, v.changes); }
template <typename Self> auto fields_of(Self& v, wire_tag<checkpoint_part>) { return std::tie(v.covered_offset, v.digest, v.index, v.count, v.rows, v.bases, v.rollout_records, v.verdicts); }
template <typename Self> auto fields_of(Self& v, wire_tag<rollout_record>) { return std::tie(v.key, v.state); }
// clang-format on

/** @return References to all fields of a message, in wire order. */
template <typename Self>
auto fields_of(Self& value) {
    return fields_of(value, wire_tag<std::remove_const_t<Self>>{});
}

} // namespace goldcrestwell::internal

#endif
