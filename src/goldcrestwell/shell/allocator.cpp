#include "goldcrestwell/shell/allocator.hpp"

#include <malloc.h>

namespace goldcrestwell {

namespace {

constexpr int min_mapped_block_bytes = 128 * 1'024;

} // namespace

// Without a fixed threshold, freeing a large block raises it, and later large blocks come from the heap, which keeps
// them after they are freed.
void configure_allocator() noexcept {
    mallopt(M_MMAP_THRESHOLD, min_mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, min_mapped_block_bytes);
}

void release_free_memory() noexcept {
    malloc_trim(0);
}

} // namespace goldcrestwell
