#ifndef GOLDCRESTWELL_CORE_MESSAGE_EVIDENCE_WINDOW_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_EVIDENCE_WINDOW_HPP

#include "goldcrestwell/core/message/latency_histogram.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Outcomes of the calls of one route at one upstream version since the last report. */
struct evidence_window {
    row_key row;
    std::uint32_t calls{};
    std::uint32_t failures{};
    latency_histogram latencies{};

    [[nodiscard]] friend bool operator==(const evidence_window&, const evidence_window&) = default;
};

} // namespace goldcrestwell

#endif
