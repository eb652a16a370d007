#ifndef GOLDCRESTWELL_SOAK_DELAYED_TASKS_HPP
#define GOLDCRESTWELL_SOAK_DELAYED_TASKS_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace goldcrestwell::soak {

/** @brief Runs functions after a delay; the destructor cancels those that are still pending. */
class delayed_tasks {
public:
    explicit delayed_tasks(event_loop& loop) : loop_{loop} {}

    void schedule(const std::chrono::milliseconds delay, std::function<void()> task) {
        const auto entry = pending_.emplace(pending_.end());
        *entry = std::make_unique<timer>(loop_, [this, entry, task = std::move(task)](time_sample) {
            // The timer owns this function, so the timer is destroyed only after the function has returned.
            loop_.defer([ended = std::shared_ptr<timer>{std::move(*entry)}] {});
            pending_.erase(entry);
            task();
        });
        (*entry)->schedule_after(delay);
    }

private:
    event_loop& loop_;
    std::list<std::unique_ptr<timer>> pending_;
};

} // namespace goldcrestwell::soak

#endif
