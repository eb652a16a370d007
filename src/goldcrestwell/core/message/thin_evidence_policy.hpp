#ifndef GOLDCRESTWELL_CORE_MESSAGE_THIN_EVIDENCE_POLICY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_THIN_EVIDENCE_POLICY_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief What a move does when its deadline comes and too few calls were seen to judge the version. */
enum class thin_evidence_policy : std::uint8_t { proceed, hold };

} // namespace goldcrestwell

#endif
