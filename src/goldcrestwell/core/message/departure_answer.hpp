#ifndef GOLDCRESTWELL_CORE_MESSAGE_DEPARTURE_ANSWER_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DEPARTURE_ANSWER_HPP

#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Departures recorded for the host of the receiver, read from the store after its query arrived. */
struct departure_answer {
    std::vector<upstream_departure> departures;

    [[nodiscard]] friend bool operator==(const departure_answer&, const departure_answer&) = default;
};

} // namespace goldcrestwell

#endif
