#include "core/avoid_list.h"

namespace verbenastile {

void AvoidList::Add(std::string_view name,
                    std::uint64_t incarnation,
                    Time now) {
  entries_.insert_or_assign(std::string(name),
                            Entry{incarnation, now + kAvoidTime});
}

bool AvoidList::Contains(std::string_view name,
                         std::uint64_t incarnation,
                         Time now) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && now < found->second.until &&
         incarnation <= found->second.incarnation;
}

std::vector<std::string_view> AvoidList::Names(Time now) {
  std::erase_if(entries_,
                [&](const auto& entry) { return entry.second.until <= now; });
  std::vector<std::string_view> names;
  names.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace verbenastile
