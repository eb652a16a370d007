#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_LOADER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_LOADER_HPP

#include "goldcrestwell/core/config/reducer_reason.hpp"
#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/config/verdict_store.hpp"
#include "goldcrestwell/core/message/checkpoint_part.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace goldcrestwell::internal {

/** @brief State that was loaded from a complete checkpoint. */
struct loaded_state {
    log_offset covered_offset;
    std::shared_ptr<const table_snapshot> snapshot;
    std::uint64_t table_digest{};
    verdict_store verdicts;
};

/** @brief Builds a state from the parts of one checkpoint and verifies its digest. */
class checkpoint_loader {
public:
    /** @return The state, or an empty optional if parts are missing or the content does not match the digest. */
    [[nodiscard]] std::optional<loaded_state> load(std::span<const checkpoint_part> parts);
    /** @return Reason why the last call of `load` failed. */
    [[nodiscard]] reducer_reason last_reason() const noexcept { return last_reason_; }

private:
    reducer_reason last_reason_{reducer_reason::none};
};

} // namespace goldcrestwell::internal

#endif
