#ifndef GOLDCRESTWELL_SHELL_BODY_OUTPUT_HPP
#define GOLDCRESTWELL_SHELL_BODY_OUTPUT_HPP

#include "goldcrestwell/core/message/message_body.hpp"

#include <cstddef>

struct evbuffer;

namespace goldcrestwell {

/** @brief Appends a part of a body to a buffer without copying it; the buffer holds the body until it is written. */
void append_body(evbuffer* output, const message_body& body, std::size_t offset, std::size_t size);
/** @brief Appends a whole body to a buffer. */
void append_body(evbuffer* output, const message_body& body);

} // namespace goldcrestwell

#endif
