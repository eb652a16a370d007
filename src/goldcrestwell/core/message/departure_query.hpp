#ifndef GOLDCRESTWELL_CORE_MESSAGE_DEPARTURE_QUERY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DEPARTURE_QUERY_HPP

namespace goldcrestwell {

/** @brief Asks a peer for the departures that the store has recorded for the host of the sender. */
struct departure_query {
    [[nodiscard]] friend bool operator==(const departure_query&, const departure_query&) = default;
};

} // namespace goldcrestwell

#endif
