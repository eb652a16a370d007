#ifndef GOLDCRESTWELL_SHELL_FWD_HPP
#define GOLDCRESTWELL_SHELL_FWD_HPP

namespace goldcrestwell {

class admin_listener;
class caller_connection;
class caller_listener;
class caller_server;
class event_loop;
class gossip_socket;
class http_connection;
class http_exchange;
class http_message_parser;
class http_server;
class log_client;
class node_process;
class peer_connection;
class peer_transport;
class signal_watch;
class timer;
class upstream_client;
struct endpoint;
struct http_message;
struct response_verdict;

} // namespace goldcrestwell

#endif
