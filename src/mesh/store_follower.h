// Follows the objects of one kind in the platform's store: lists them, watches
// for changes or lists again from time to time, and starts over when it must.
// Steps are taken by charts/platform_session.yaml.
#ifndef MESH_STORE_FOLLOWER_H_
#define MESH_STORE_FOLLOWER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "core/state_chart.h"
#include "mesh/object_store.h"

namespace verbenastile {

class StoreFollower {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    ObjectStore* store = nullptr;
    const StateChart* chart = nullptr;  // "platform_session".
    std::string kind;
    // How long after an event the next watch is sent, so that events that
    // come together cost one call.
    Duration rest = std::chrono::milliseconds(0);
    // Set: objects are listed again after about this time, and not watched.
    std::function<Duration()> poll;
    // How many nodes watch these objects and tell each other of changes.
    std::function<std::size_t()> followers = [] { return std::size_t{1}; };
    std::uint64_t seed = 0;
    // All objects there are.
    std::function<void(const std::vector<StoreObject>&)> on_listed;
    std::function<void(const StoreEvent&)> on_event;
    // A watch ended without an event: what is known is up to date.
    std::function<void()> on_quiet;
  };

  explicit StoreFollower(Init init);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  // Begins, or begins again after `Stop`.
  void Start();
  void Stop();

  // When the store last answered; nothing before the first answer.
  std::optional<Time> confirmed() const { return confirmed_; }
  bool listed() const { return listed_; }
  // Whether the store has been listed and no call has failed since.
  bool in_contact() const { return machine_.state() == "watching"; }

 private:
  void Fire(std::string_view event);
  void RunAction(std::string_view action);
  void List();
  void ListAgainLater();
  Duration RetryWait();
  void Watch();
  void OnEvents(StoreResult<StoreEvents> result);
  void Confirm();
  void OnError(const StoreError& error, std::string_view event);

  Init init_;
  ChartMachine machine_;
  asio::steady_timer timer_;
  Random random_;
  StoreCallId call_ = 0;
  StoreRevision revision_ = 0;
  std::optional<Time> confirmed_;
  unsigned failures_ = 0;
  bool listed_ = false;
};

}  // namespace verbenastile

#endif  // MESH_STORE_FOLLOWER_H_
