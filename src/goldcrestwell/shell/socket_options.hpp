#ifndef GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP
#define GOLDCRESTWELL_SHELL_SOCKET_OPTIONS_HPP

namespace goldcrestwell {

/** @brief Disables Nagle's algorithm, which would delay a call by up to 40 ms. */
void disable_nagle(int descriptor) noexcept;

/** @brief Disables Nagle's algorithm and makes the kernel detect an unresponsive peer within about two seconds. */
void tune_stream(int descriptor) noexcept;

} // namespace goldcrestwell

#endif
