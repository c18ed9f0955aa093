// Names of members whose news is still to be passed on, each a bounded number
// of times, the least passed on first.
#ifndef CORE_BROADCAST_QUEUE_H_
#define CORE_BROADCAST_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace verbenastile {

class BroadcastQueue {
 public:
  // Queues the news of `name` anew; it counts as not passed on yet.
  void Push(std::string_view name);
  void Remove(std::string_view name);

  // Others pass the news of `name` on too, which counts like passing it on.
  void HeardAgain(std::string_view name, unsigned limit);

  // Offers names, the least passed on first, until `take` returns false or
  // none is left. A name taken `limit` times leaves the queue.
  void Drain(unsigned limit,
             const std::function<bool(const std::string&)>& take);

  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  // How often passed on, the turn, the name.
  using Entry = std::tuple<unsigned, std::uint64_t, std::string>;

  void PushAgain(const std::string& name, unsigned sends, unsigned limit);

  std::set<Entry> order_;
  std::map<std::string, std::pair<unsigned, std::uint64_t>, std::less<>>
      entries_;
  std::uint64_t turn_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_BROADCAST_QUEUE_H_
