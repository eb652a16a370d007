#ifndef GOLDCRESTWELL_CORE_CONFIG_FWD_HPP
#define GOLDCRESTWELL_CORE_CONFIG_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

class config_follower;
class table_reducer;
class table_snapshot;
struct config_follower_options;
struct route_state;
struct table_reducer_options;
enum class reducer_reason : std::uint8_t;

} // namespace goldcrestwell

#endif
