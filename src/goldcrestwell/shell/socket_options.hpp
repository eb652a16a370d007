#ifndef GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP
#define GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP

namespace goldcrestwell {

/** @brief Disables Nagle's algorithm, which would delay a call by up to 40 ms. */
void disable_nagle(int descriptor) noexcept;

/** @brief Disables Nagle's algorithm and makes the kernel detect an unresponsive peer within about two seconds. */
void tune_stream(int descriptor) noexcept;

/** @brief Limits the bytes that the kernel holds for a peer before it sends them, so that small frames are not delayed.
 */
void limit_unsent_bytes(int descriptor) noexcept;

/** @brief Limits the received bytes that the kernel holds for a socket of a caller. */
void limit_receive_buffer(int descriptor) noexcept;

} // namespace goldcrestwell

#endif
