#ifndef GOLDCRESTWELL_SHELL_ALLOCATOR_HPP
#define GOLDCRESTWELL_SHELL_ALLOCATOR_HPP

namespace goldcrestwell {

/** @brief Makes the C library return the memory of large blocks to the system as soon as they are freed. */
void configure_allocator() noexcept;

/** @brief Returns the memory of small free blocks to the system. */
void release_free_memory() noexcept;

} // namespace goldcrestwell

#endif
