#ifndef GOLDCRESTWELL_SOAK_LATER_HPP
#define GOLDCRESTWELL_SOAK_LATER_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace goldcrestwell::soak {

/** @brief Runs functions after a delay; what is left when it is destroyed does not run. */
class later {
public:
    explicit later(event_loop& loop) : loop_{loop} {}

    void run(const std::chrono::milliseconds delay, std::function<void()> work) {
        const auto entry = waiting_.emplace(waiting_.end());
        *entry = std::make_unique<timer>(loop_, [this, entry, work = std::move(work)](time_sample) {
            // The timer owns this function, so it is freed after the function has returned.
            loop_.defer([ended = std::shared_ptr<timer>{std::move(*entry)}] {});
            waiting_.erase(entry);
            work();
        });
        (*entry)->schedule_after(delay);
    }

private:
    event_loop& loop_;
    std::list<std::unique_ptr<timer>> waiting_;
};

} // namespace goldcrestwell::soak

#endif
