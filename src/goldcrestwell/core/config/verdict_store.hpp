#ifndef GOLDCRESTWELL_CORE_CONFIG_VERDICT_STORE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_VERDICT_STORE_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace goldcrestwell::internal {

/** @brief The newest verdicts by edit id; every node keeps the same number. */
class verdict_store {
public:
    using size_type = std::size_t;

    /** @brief Adds a verdict, whose offset must be higher than all others; drops the oldest above the limit. */
    void add(const edit_verdict& verdict);
    /** @return Verdict on an edit, or null. */
    [[nodiscard]] const edit_verdict* find(const edit_id& id) const noexcept;
    /** @return Verdicts, sorted by offset. */
    [[nodiscard]] const std::deque<edit_verdict>& verdicts() const noexcept { return by_offset_; }
    /** @return Order-independent hash of all verdicts. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

private:
    std::deque<edit_verdict> by_offset_;
    std::map<edit_id, edit_verdict> by_id_;
    std::uint64_t digest_{};
};

} // namespace goldcrestwell::internal

#endif
