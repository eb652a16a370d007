#ifndef GOLDCRESTWELL_CORE_MESSAGE_THIN_EVIDENCE_POLICY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_THIN_EVIDENCE_POLICY_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Action of a rollout that reaches its deadline with too few calls to judge the candidate. */
enum class thin_evidence_policy : std::uint8_t { proceed, hold };

} // namespace goldcrestwell

#endif
