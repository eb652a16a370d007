#include "goldcrestwell/shell/http_server.hpp"

#include <utility>

namespace goldcrestwell {

http_server::http_server(event_loop& loop, http_server_options options)
    : server_{loop,
              {.address = std::move(options.address),
               .port = options.port,
               .max_connections = options.max_connections,
               .limits = {.max_header_bytes = options.max_header_bytes,
                          .max_body_bytes = options.max_body_bytes,
                          .header_timeout = options.idle_timeout,
                          .idle_timeout = options.idle_timeout},
               .memory = std::move(options.memory),
               .on_request = std::move(options.on_request)}} {}

} // namespace goldcrestwell
