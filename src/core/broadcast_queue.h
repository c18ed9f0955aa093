// Queue of members whose updates are to be gossiped. Each update is sent a
// bounded number of times; the least sent go first.
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
  // Queues a new update about `name` with a send count of zero.
  void Push(std::string_view name);
  void Remove(std::string_view name);

  // Counts an update about `name` received from another member as one send.
  void HeardAgain(std::string_view name, unsigned limit);

  // Passes names to `take`, least sent first, until it returns false or none is
  // left. A name is removed once its send count reaches `limit`.
  void Drain(unsigned limit,
             const std::function<bool(const std::string&)>& take);

  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  // Send count, insertion number, name.
  using Entry = std::tuple<unsigned, std::uint64_t, std::string>;

  void Requeue(const std::string& name, unsigned sends, unsigned limit);

  std::set<Entry> order_;
  std::map<std::string, std::pair<unsigned, std::uint64_t>, std::less<>>
      entries_;
  std::uint64_t insertions_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_BROADCAST_QUEUE_H_
