#ifndef GOLDCRESTWELL_CORE_MESSAGE_FWD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_FWD_HPP

namespace goldcrestwell {

class message_body;
struct attempt_cancel;
struct attempt_query;
struct attempt_reply;
struct attempt_request;
struct attempt_status;
struct call_observation;
struct call_refusal;
struct call_request;
struct checkpoint_part;
struct config_pull;
struct datagram;
struct document_batch;
struct departure_answer;
struct departure_query;
struct document_pull;
struct edit_verdict;
struct evidence_report;
struct evidence_window;
struct heartbeat;
struct heartbeat_ack;
struct hello;
struct http_response;
struct http_header;
struct member;
struct rollout_key;
struct rollout_state;
struct rollout_update;
struct record_batch;
struct record_version;
struct operator_record;
struct rollout_record;
struct rollout_request;
struct route_config;
struct route_base;
struct row_change;
struct row_key;
struct row_limits;
struct row_values;
struct routing_config;
struct sequenced_record;
struct sync_digest;
struct sync_list;
struct sync_request;
struct sync_state;
struct table_edit;
struct table_row;
struct unreadable_record;
struct host_departures;
struct upstream_departure;
struct upstream_info;
struct upstream_result;
struct version_share;

} // namespace goldcrestwell

#endif
