#ifndef GOLDCRESTWELL_CORE_CONFIG_FWD_HPP
#define GOLDCRESTWELL_CORE_CONFIG_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

class config_follower;
class document_register;
class store_follower;
class store_history;
class table_reducer;
class table_snapshot;
struct config_follower_options;
struct document_register_options;
struct store_follower_options;
struct store_history_options;
struct store_page;
struct route_state;
struct table_reducer_options;
enum class reducer_reason : std::uint8_t;

} // namespace goldcrestwell

#endif
