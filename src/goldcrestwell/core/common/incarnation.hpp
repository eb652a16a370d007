#ifndef GOLDCRESTWELL_CORE_COMMON_INCARNATION_HPP
#define GOLDCRESTWELL_CORE_COMMON_INCARNATION_HPP

#include "goldcrestwell/core/common/tagged_value.hpp"

#include <cstdint>

namespace goldcrestwell {

/**
 * @brief Generation of a node's member record: wall-clock milliseconds at process start, raised to refute a suspicion.
 *
 * The value at process start is the node's start incarnation.
 */
using incarnation = tagged_value<struct incarnation_tag, std::uint64_t>;

} // namespace goldcrestwell

#endif
