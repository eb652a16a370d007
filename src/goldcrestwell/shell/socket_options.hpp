#ifndef GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP
#define GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP

namespace goldcrestwell {

/** @brief Sends small writes at once; Nagle's algorithm would add up to 40 ms to a call. */
void disable_nagle(int descriptor) noexcept;

/** @brief Sends small writes at once and lets the kernel find a silent peer within about two seconds. */
void tune_stream(int descriptor) noexcept;

} // namespace goldcrestwell

#endif
