#include "core/broadcast_queue.h"

#include <vector>

namespace verbenastile {

void BroadcastQueue::Push(std::string_view name) {
  Remove(name);
  ++insertions_;
  order_.emplace(0, insertions_, name);
  entries_.emplace(name, std::pair(0U, insertions_));
}

void BroadcastQueue::Remove(std::string_view name) {
  const auto known = entries_.find(name);
  if (known == entries_.end()) {
    return;
  }
  const auto [sends, insertion] = known->second;
  order_.erase(Entry(sends, insertion, known->first));
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
  for (auto& [sends, insertion, name] : taken) {
    Requeue(name, sends + 1, limit);
  }
}

void BroadcastQueue::HeardAgain(std::string_view name, unsigned limit) {
  const auto known = entries_.find(name);
  if (known != entries_.end()) {
    const unsigned sends = known->second.first;
    Requeue(std::string(name), sends + 1, limit);
  }
}

void BroadcastQueue::Requeue(const std::string& name,
                             unsigned sends,
                             unsigned limit) {
  Remove(name);
  if (sends < limit) {
    ++insertions_;
    order_.emplace(sends, insertions_, name);
    entries_.emplace(name, std::pair(sends, insertions_));
  }
}

}  // namespace verbenastile
