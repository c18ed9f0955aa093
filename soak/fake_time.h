// Events in the order of a made-up time.
#ifndef SOAK_FAKE_TIME_H_
#define SOAK_FAKE_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace verbenastile {

class EventQueue {
 public:
  using Event = std::function<void()>;

  Time now() const { return now_; }

  void After(Duration wait, Event event) {
    events_.push({now_ + wait, ++last_number_, std::move(event)});
  }

  // Runs the next event. There has to be one.
  void RunNext() {
    // The queue's order does not look at the event that is moved out.
    Entry next = std::move(const_cast<Entry&>(events_.top()));
    events_.pop();
    now_ = next.due;
    next.event();
  }

  bool empty() const { return events_.empty(); }

 private:
  struct Entry {
    Time due;
    std::uint64_t number = 0;  // Equal times run in the order they were made.
    Event event;

    bool operator<(const Entry& other) const {
      return due == other.due ? number > other.number : due > other.due;
    }
  };

  std::priority_queue<Entry> events_;
  Time now_;
  std::uint64_t last_number_ = 0;
};

}  // namespace verbenastile

#endif  // SOAK_FAKE_TIME_H_
