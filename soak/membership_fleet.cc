#include "membership_fleet.h"

#include <fmt/format.h>

#include <tuple>

#include "core/membership_timing.h"

namespace verbenastile {
namespace {

constexpr std::uint16_t kFirstPort = 1'000;
constexpr const char* kIp = "10.0.0.1";
constexpr std::size_t kSeedsGiven = 6;
constexpr Duration kNearDelay = std::chrono::microseconds(1'500);
constexpr Duration kFarDelay = std::chrono::milliseconds(15);
constexpr std::uint64_t kPermille = 1'000;

}  // namespace

MembershipFleet::MembershipFleet(const FleetInit& init)
    : init_(init), random_(init.seed), nodes_(init.nodes) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].port = static_cast<std::uint16_t>(kFirstPort + i);
    by_port_.push_back(i);
    names_.push_back(fmt::format("node-{}", i));
  }
}

std::size_t MembershipFleet::domain(std::size_t node) const {
  return node % init_.domains;
}

Member MembershipFleet::MemberOf(std::size_t node) const {
  Member member;
  member.name = NameOf(node);
  member.failure_domain = fmt::format("domain-{}", domain(node));
  member.region = fmt::format("region-{}", domain(node) % init_.regions);
  member.service = fmt::format("service-{}", node % 22);
  member.control_address = {kIp, nodes_[node].port};
  member.peer_address = {kIp, 1};
  member.slots = 10;
  member.connections = 100;
  return member;
}

void MembershipFleet::StartAs(std::size_t node, std::uint64_t incarnation) {
  Node& started = nodes_[node];
  MembershipInit init;
  init.self = MemberOf(node);
  init.self.incarnation = incarnation;
  init.cluster = 1;
  init.seed = random_.Below(1ULL << 62);
  init.fault = init_.fault;
  ++started.life;
  started.membership = std::make_unique<Membership>(init, now_);
  started.resumes = {};
  started.woken = {};
  started.wake = Time::max();
  GiveSeeds(node);
  AfterEvent(node);
}

void MembershipFleet::Start(std::size_t node) {
  StartAs(node,
          static_cast<std::uint64_t>(ToMilliseconds(now_.time_since_epoch())));
}

void MembershipFleet::Kill(std::size_t node) {
  nodes_[node].membership.reset();
}

void MembershipFleet::Restart(std::size_t node,
                              bool elsewhere,
                              bool clock_behind) {
  if (elsewhere) {
    nodes_[node].port =
        static_cast<std::uint16_t>(kFirstPort + by_port_.size());
    by_port_.push_back(node);
  }
  if (clock_behind) {
    StartAs(node, 1);
  } else {
    Start(node);
  }
}

void MembershipFleet::Pause(std::size_t node, Duration duration) {
  nodes_[node].resumes = now_ + duration;
}

void MembershipFleet::Announce(std::size_t node, MemberState state) {
  nodes_[node].membership->Announce(now_, state, true);
  AfterEvent(node);
}

void MembershipFleet::SetSide(std::size_t node, unsigned side) {
  nodes_[node].side = side;
}

void MembershipFleet::GiveSeeds(std::size_t node) {
  if (!store_up_) {
    return;
  }
  std::vector<SocketAddress> seeds;
  for (std::size_t i = 0; i < kSeedsGiven; ++i) {
    const std::size_t seed = random_.Below(nodes_.size());
    seeds.push_back({kIp, nodes_[seed].port});
  }
  nodes_[node].membership->OnSeeds(now_, seeds);
}

void MembershipFleet::Push(std::size_t node,
                           Time due,
                           const SocketAddress& from,
                           std::shared_ptr<const GossipMessage> message) {
  Event event;
  event.due = due;
  event.order = ++order_;
  event.node = node;
  event.life = nodes_[node].life;
  event.message = std::move(message);
  event.from = from;
  events_.push(std::move(event));
}

void MembershipFleet::Schedule(std::size_t node) {
  Node& scheduled = nodes_[node];
  const Time wake = std::max(scheduled.membership->next_wake(), now_);
  if (wake != scheduled.wake) {
    scheduled.wake = wake;
    Push(node, wake, {}, nullptr);
  }
}

void MembershipFleet::Step() {
  const std::uint64_t before = steps_;
  while (steps_ == before && !events_.empty()) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.due);
    Handle(std::move(event));
  }
}

void MembershipFleet::RunUntil(Time end) {
  while (!events_.empty() && events_.top().due <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.due);
    Handle(std::move(event));
  }
  now_ = std::max(now_, end);
}

void MembershipFleet::Handle(Event event) {
  Node& node = nodes_[event.node];
  if (!node.membership || node.life != event.life ||
      (!event.message && event.due != node.wake)) {
    return;
  }
  if (node.resumes > now_) {
    // A paused process finds all at once when it wakes.
    event.due = node.resumes;
    if (!event.message) {
      node.wake = node.resumes;
    }
    events_.push(std::move(event));
    return;
  }
  if (node.resumes != Time{}) {
    node.woken = std::exchange(node.resumes, Time{});
    node.deaths_at_wake = node.membership->stats().deaths;
  }
  ++steps_;
  if (event.message) {
    node.membership->OnMessage(now_, event.from, *event.message);
  } else {
    node.wake = Time::max();
    node.membership->OnTick(now_);
  }
  AfterEvent(event.node);
}

void MembershipFleet::AfterEvent(std::size_t node) {
  Membership& membership = *nodes_[node].membership;
  for (MembershipAction& action : membership.TakeActions()) {
    if (const auto* send = std::get_if<SendGossip>(&action)) {
      Deliver(node, *send);
    } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
      digest_.Add(node << 8 |
                  static_cast<std::uint64_t>(changed->member.state));
      digest_.Add(changed->member.incarnation);
    } else if (std::holds_alternative<NeedSeeds>(action)) {
      GiveSeeds(node);
      for (MembershipAction& join : membership.TakeActions()) {
        if (const auto* request = std::get_if<SendGossip>(&join)) {
          Deliver(node, *request);
        }
      }
    }
  }
  CheckWoken(node);
  Schedule(node);
}

// A process that slept has no business to declare deaths at once.
void MembershipFleet::CheckWoken(std::size_t node) {
  const Node& checked = nodes_[node];
  const Duration hold = ShortestSuspicion(checked.membership->table().live());
  if (checked.woken != Time{} && now_ < checked.woken + hold &&
      checked.membership->stats().deaths != checked.deaths_at_wake) {
    violations_.push_back(fmt::format(
        "woken_node_holds_back: {} declared a death", NameOf(node)));
  }
}

Duration MembershipFleet::Delay(std::size_t from, std::size_t to) {
  const bool near = domain(from) % init_.regions == domain(to) % init_.regions;
  const Duration base = near ? kNearDelay : kFarDelay;
  const auto spread =
      static_cast<std::uint64_t>((base + network_.extra_delay).count());
  return base + Duration(random_.Below(spread));
}

void MembershipFleet::Deliver(std::size_t from, const SendGossip& send) {
  bytes_sent_ += DatagramBytes(send.message);
  if (observer_) {
    observer_(send);
  }
  const std::size_t index = send.to.port - kFirstPort;
  const std::size_t to = by_port_.at(index);
  const bool reached = nodes_[to].membership &&
                       nodes_[to].port == send.to.port &&
                       nodes_[to].side == nodes_[from].side;
  if (!reached || random_.Below(kPermille) < network_.loss_permille) {
    return;
  }
  const auto message = std::make_shared<const GossipMessage>(send.message);
  const SocketAddress source{kIp, nodes_[from].port};
  Push(to, now_ + Delay(from, to), source, message);
  if (random_.Below(kPermille) < network_.duplicate_permille) {
    Push(to, now_ + Delay(from, to), source, message);
  }
}

std::string MembershipFleet::Disagreement() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!up(i)) {
      continue;
    }
    for (std::size_t j = 0; j < nodes_.size(); ++j) {
      const MemberRecord* record = at(i).table().Find(NameOf(j));
      const bool held_live = record != nullptr && IsLive(record->member.state);
      if (!up(j)) {
        if (held_live) {
          return fmt::format("{} holds {} live", NameOf(i), NameOf(j));
        }
        continue;
      }
      const Member& self = at(j).self();
      if (!held_live || record->member.state != self.state ||
          record->member.incarnation != self.incarnation ||
          record->member.control_address != self.control_address) {
        return fmt::format("{} does not know {} as it is", NameOf(i),
                           NameOf(j));
      }
    }
  }
  return {};
}

}  // namespace verbenastile
