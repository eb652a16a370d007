#ifndef GOLDCRESTWELL_CORE_COMMON_MEMORY_RESERVATION_HPP
#define GOLDCRESTWELL_CORE_COMMON_MEMORY_RESERVATION_HPP

#include "goldcrestwell/core/common/memory_use.hpp"

#include <cstddef>
#include <memory>

namespace goldcrestwell {

class memory_budget;

/** @brief Memory reserved from a budget until the reservation is destroyed; without a budget it is unlimited. */
class memory_reservation {
public:
    using size_type = std::size_t;

    memory_reservation() noexcept = default;
    explicit memory_reservation(std::shared_ptr<memory_budget> budget) noexcept;
    ~memory_reservation();

    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;

    /**
     * @brief Changes the number of reserved bytes.
     * @return False if the budget has too little memory; the reservation is then unchanged.
     */
    [[nodiscard]] bool resize(size_type bytes, memory_use use);
    /** @brief Releases all bytes; the reservation can be resized again. */
    void clear() noexcept;
    [[nodiscard]] size_type size() const noexcept { return bytes_; }

private:
    std::shared_ptr<memory_budget> budget_;
    size_type bytes_{};
};

} // namespace goldcrestwell

#endif
