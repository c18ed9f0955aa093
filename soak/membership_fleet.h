// A fleet of real membership protocols on a fake network in virtual time:
// loss, delay, duplicates, partitions, deaths, pauses and restarts.
#ifndef SOAK_MEMBERSHIP_FLEET_H_
#define SOAK_MEMBERSHIP_FLEET_H_

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "core/membership.h"
#include "soak.h"

namespace verbenastile {

struct FleetInit {
  std::size_t nodes = 24;
  std::size_t domains = 4;
  std::size_t regions = 2;
  std::uint64_t seed = 1;
  MembershipFault fault = MembershipFault::kNone;
};

// How the network treats messages.
struct NetworkFaults {
  std::uint64_t loss_permille = 0;
  std::uint64_t duplicate_permille = 0;
  Duration extra_delay{0};  // Up to this, so that messages cross.
};

class MembershipFleet {
 public:
  using Observer = std::function<void(const SendGossip&)>;

  explicit MembershipFleet(const FleetInit& init);

  // Takes one event. Events that no node notices do not count.
  void Step();
  void RunUntil(Time end);
  Time now() const { return now_; }
  std::uint64_t steps() const { return steps_; }

  void Start(std::size_t node);
  void Kill(std::size_t node);
  // A new process of the same name: `elsewhere` at another address, with a
  // clock that is right or far behind.
  void Restart(std::size_t node, bool elsewhere, bool clock_behind);
  void Pause(std::size_t node, Duration duration);
  void Announce(std::size_t node, MemberState state);
  // Nodes reach only nodes of the same side.
  void SetSide(std::size_t node, unsigned side);
  void SetNetwork(const NetworkFaults& faults) { network_ = faults; }
  void SetStoreUp(bool up) { store_up_ = up; }
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t node) const { return nodes_[node].membership != nullptr; }
  bool paused(std::size_t node) const { return nodes_[node].resumes > now_; }
  std::size_t domain(std::size_t node) const;
  const Membership& at(std::size_t node) const {
    return *nodes_[node].membership;
  }
  const std::string& NameOf(std::size_t node) const { return names_[node]; }

  // Empty when all that run know each other as they are and nobody else as
  // live; otherwise the first difference.
  std::string Disagreement() const;
  // Upper bounds of bytes sent so far by all nodes.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  const RunDigest& digest() const { return digest_; }
  std::vector<std::string>& violations() { return violations_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    std::uint16_t port = 0;
    unsigned side = 0;
    std::uint64_t life = 0;
    Time wake;     // The tick that is scheduled.
    Time resumes;  // Paused until then.
    Time woken;
    std::uint64_t deaths_at_wake = 0;
  };
  struct Event {
    Time due;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t life = 0;
    std::shared_ptr<const GossipMessage> message;  // Null: a tick.
    SocketAddress from;

    bool operator>(const Event& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  Member MemberOf(std::size_t node) const;
  void StartAs(std::size_t node, std::uint64_t incarnation);
  void Handle(Event event);
  void AfterEvent(std::size_t node);
  void CheckWoken(std::size_t node);
  void Deliver(std::size_t from, const SendGossip& send);
  void Push(std::size_t node,
            Time due,
            const SocketAddress& from,
            std::shared_ptr<const GossipMessage> message);
  void Schedule(std::size_t node);
  Duration Delay(std::size_t from, std::size_t to);
  void GiveSeeds(std::size_t node);

  FleetInit init_;
  SoakRandom random_;
  std::vector<Node> nodes_;
  std::vector<std::string> names_;
  std::vector<std::size_t> by_port_;  // Ports count on from `kFirstPort`.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  NetworkFaults network_;
  Observer observer_;
  bool store_up_ = true;
  Time now_{std::chrono::hours(1'000)};
  std::uint64_t order_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t bytes_sent_ = 0;
  RunDigest digest_;
  std::vector<std::string> violations_;
};

}  // namespace verbenastile

#endif  // SOAK_MEMBERSHIP_FLEET_H_
