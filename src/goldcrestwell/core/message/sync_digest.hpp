#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_DIGEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_DIGEST_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Digest of the membership records of one data centre. */
struct data_centre_digest {
    goldcrestwell::data_centre data_centre;
    std::uint64_t digest{};

    [[nodiscard]] friend bool operator==(const data_centre_digest&, const data_centre_digest&) = default;
};

/** @brief Starts an anti-entropy exchange. */
struct sync_digest {
    std::vector<data_centre_digest> data_centres;
    /** @brief Digest of all move states. */
    std::uint64_t moves{};
    /** @brief The receiver shall send its own records of the data centres that differ. */
    bool reply{};
    /** @brief Part of the id space that the digests cover, from 1; zero covers all records. */
    std::uint32_t slice{};

    [[nodiscard]] friend bool operator==(const sync_digest&, const sync_digest&) = default;
};

} // namespace goldcrestwell

#endif
