#include "goldcrestwell/core/common/memory_reservation.hpp"

#include "goldcrestwell/core/common/memory_budget.hpp"

#include <utility>

namespace goldcrestwell {

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget) noexcept : budget_{std::move(budget)} {}

memory_reservation::~memory_reservation() {
    clear();
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_{std::move(other.budget_)}, bytes_{std::exchange(other.bytes_, 0)} {}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept {
    if (this != &other) {
        clear();
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool memory_reservation::resize(const size_type bytes, const memory_use use) {
    if (budget_ && bytes > bytes_ && !budget_->try_reserve(bytes - bytes_, use)) {
        return false;
    }
    const auto previous = std::exchange(bytes_, bytes);
    if (budget_ && bytes < previous) {
        budget_->release(previous - bytes);
    }
    return true;
}

void memory_reservation::clear() noexcept {
    const auto previous = std::exchange(bytes_, 0);
    if (budget_ && previous > 0) {
        budget_->release(previous);
    }
}

} // namespace goldcrestwell
