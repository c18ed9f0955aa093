#include "core/broadcast_queue.h"

#include <vector>

namespace verbenastile {

void BroadcastQueue::Push(std::string_view name) {
  Remove(name);
  ++turn_;
  order_.emplace(0, turn_, name);
  entries_.emplace(name, std::pair(0U, turn_));
}

void BroadcastQueue::Remove(std::string_view name) {
  const auto known = entries_.find(name);
  if (known == entries_.end()) {
    return;
  }
  const auto [sends, turn] = known->second;
  order_.erase(Entry(sends, turn, known->first));
  entries_.erase(known);
}

void BroadcastQueue::Drain(
    unsigned limit,
    const std::function<bool(const std::string&)>& take) {
  std::vector<Entry> taken;
  for (const Entry& entry : order_) {
    if (!take(std::get<2>(entry))) {
      break;
    }
    taken.push_back(entry);
  }
  for (auto& [sends, turn, name] : taken) {
    PushAgain(name, sends + 1, limit);
  }
}

void BroadcastQueue::HeardAgain(std::string_view name, unsigned limit) {
  const auto known = entries_.find(name);
  if (known != entries_.end()) {
    const unsigned sends = known->second.first;
    PushAgain(std::string(name), sends + 1, limit);
  }
}

void BroadcastQueue::PushAgain(const std::string& name,
                               unsigned sends,
                               unsigned limit) {
  Remove(name);
  if (sends < limit) {
    ++turn_;
    order_.emplace(sends, turn_, name);
    entries_.emplace(name, std::pair(sends, turn_));
  }
}

}  // namespace verbenastile
