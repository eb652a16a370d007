#ifndef GOLDCRESTWELL_CODEC_FWD_HPP
#define GOLDCRESTWELL_CODEC_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

enum class codec_reason : std::uint8_t;
enum class csv_reason : std::uint8_t;
enum class settings_reason : std::uint8_t;
class csv_decoder;
class datagram_decoder;
class frame_decoder;
class frame_splitter;
class log_batch_decoder;
class record_decoder;
class settings_reader;
struct csv_fault;
struct node_settings;
struct settings_fault;
struct table_line;

} // namespace goldcrestwell

#endif
