#ifndef GOLDCRESTWELL_PLATFORM_FWD_HPP
#define GOLDCRESTWELL_PLATFORM_FWD_HPP

namespace goldcrestwell {

class platform_listener;
class sidecar;
class store_client;
struct directory_page;
struct newest_page;
struct platform_listener_options;
struct record_page;
struct store_client_options;

} // namespace goldcrestwell

#endif
