#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

#include "core/invariant.h"
#include "core/membership.h"
#include "core/roster_mending.h"

namespace verbenastile {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Member MakeMember(const std::string& name, std::uint16_t port) {
  Member member;
  member.name = name;
  member.incarnation = 100;
  member.failure_domain = "w1";
  member.region = "windhoek";
  member.service = "booking";
  member.control_address = {"10.0.0.1", port};
  member.peer_address = {"10.0.0.1", 1};
  return member;
}

// Members on a simulated network without delay, which can be partitioned.
class Mesh {
 public:
  void Start(const std::string& name,
             std::uint16_t port,
             std::uint64_t incarnation = 100) {
    MembershipInit init;
    init.self = MakeMember(name, port);
    init.self.incarnation = incarnation;
    init.seed = port;
    members_[port] = std::make_unique<Membership>(init, now_);
    std::vector<SocketAddress> seeds;
    for (const auto& [seed, member] : members_) {
      seeds.push_back({"10.0.0.1", seed});
    }
    at(port).OnSeeds(now_, seeds);
    Settle();
  }

  void Stop(std::uint16_t port) { members_.erase(port); }

  // Advances time by `duration`; the member at port `paused` is paused.
  void Pass(Duration duration, std::uint16_t paused = 0) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ = std::min(end, NextWake(paused));
      for (auto& [port, member] : members_) {
        if (port != paused && member->next_wake() <= now_) {
          member->OnTick(now_);
        }
      }
      Settle(paused);
    }
  }

  void Resume(std::uint16_t port) {
    at(port).OnTick(now_);
    Settle();
  }

  // Delivers messages until no more are sent.
  void Settle(std::uint16_t paused = 0) {
    for (bool more = true; more;) {
      more = false;
      for (auto& [port, member] : members_) {
        for (const MembershipAction& action : member->TakeActions()) {
          if (const auto* send = std::get_if<SendGossip>(&action)) {
            more = Deliver(port, *send, paused) || more;
          }
          conflicts += std::holds_alternative<NameConflict>(action) ? 1 : 0;
        }
      }
    }
  }

  Membership& at(std::uint16_t port) { return *members_.at(port); }

  // State of `name` in the table of the member at `port`.
  MemberState StateOf(std::uint16_t port, const std::string& name) {
    return at(port).table().Find(name)->member.state;
  }

  Time now() const { return now_; }

  std::map<std::uint16_t, unsigned> partitions;
  std::size_t conflicts = 0;

 private:
  bool Deliver(std::uint16_t from,
               const SendGossip& send,
               std::uint16_t paused) {
    const auto to = members_.find(send.to.port);
    if (to == members_.end() || partitions[from] != partitions[send.to.port] ||
        send.to.port == paused) {
      return false;
    }
    to->second->OnMessage(now_, {"10.0.0.1", from}, send.message);
    return true;
  }

  Time NextWake(std::uint16_t paused) const {
    Time next = Time::max();
    for (const auto& [port, member] : members_) {
      if (port != paused) {
        next = std::min(next, member->next_wake());
      }
    }
    return std::max(next, now_ + Duration(1));
  }

  Time now_{hours(10)};
  std::map<std::uint16_t, std::unique_ptr<Membership>> members_;
};

constexpr std::uint16_t kFirst = 1;
constexpr std::uint16_t kCount = 10;

std::string NameOf(std::uint16_t port) {
  return fmt::format("node-{}", port);
}

std::unique_ptr<Mesh> MakeMesh() {
  auto mesh = std::make_unique<Mesh>();
  for (std::uint16_t port = kFirst; port <= kCount; ++port) {
    mesh->Start(NameOf(port), port);
  }
  mesh->Pass(seconds(10));
  return mesh;
}

SCENARIO("membership of a fleet of ten nodes") {
  const std::uint64_t violations = ViolationCount();
  const auto mesh = MakeMesh();
  for (std::uint16_t port = kFirst; port <= kCount; ++port) {
    REQUIRE(mesh->at(port).table().live() == kCount);
  }

  WHEN("a node dies") {
    mesh->Stop(3);
    mesh->Pass(seconds(15));
    THEN("the others mark it dead and keep its record") {
      for (std::uint16_t port : {1, 2, 4, 10}) {
        CHECK(mesh->StateOf(port, "node-3") == MemberState::kDead);
      }
      AND_WHEN("it restarts without stored state and with a clock far behind") {
        mesh->Start("node-3", 3, 1);
        mesh->Pass(seconds(15));
        THEN("it raises its incarnation above the recorded one") {
          CHECK(mesh->at(3).self().incarnation > 100);
          CHECK(mesh->StateOf(10, "node-3") == MemberState::kAlive);
        }
      }
      AND_WHEN("it restarts at another address") {
        mesh->Start("node-3", 33);
        mesh->Pass(seconds(15));
        THEN("the address is updated and no name conflict is reported") {
          CHECK(mesh->at(10)
                    .table()
                    .Find("node-3")
                    ->member.control_address.port == 33);
          CHECK(mesh->conflicts == 0);
        }
      }
    }
  }

  WHEN("a node is dead for longer than the retention time") {
    mesh->Stop(3);
    mesh->Pass(kForgetGoneAfter + minutes(5));
    THEN("its record is removed") {
      CHECK(mesh->at(1).table().Find("node-3") == nullptr);
    }
  }

  WHEN("a node is paused for a minute while another dies") {
    mesh->Stop(5);
    mesh->Pass(milliseconds(2'500));
    const std::uint64_t deaths = mesh->at(7).stats().deaths;
    mesh->Pass(minutes(1), 7);
    THEN(
        "the others mark it dead, and it declares no member dead on resuming") {
      CHECK(mesh->StateOf(1, "node-7") == MemberState::kDead);
      mesh->Resume(7);
      CHECK(mesh->at(7).stats().late_ticks == 1);
      CHECK(mesh->at(7).stats().local_health > 0);
      mesh->Pass(milliseconds(1'900));
      CHECK(mesh->at(7).stats().deaths == deaths);
      AND_THEN("it refutes its own death") {
        mesh->Pass(seconds(15));
        CHECK(mesh->StateOf(1, "node-7") == MemberState::kAlive);
        CHECK(mesh->at(7).stats().refutations > 0);
      }
    }
  }

  WHEN("the fleet is partitioned in halves for an hour") {
    for (std::uint16_t port = 6; port <= kCount; ++port) {
      mesh->partitions[port] = 1;
    }
    mesh->Pass(hours(1));
    REQUIRE(mesh->StateOf(1, "node-9") == MemberState::kDead);
    REQUIRE(mesh->StateOf(9, "node-1") == MemberState::kDead);
    mesh->partitions.clear();
    THEN("the halves merge again without seeds") {
      mesh->Pass(minutes(1));
      for (std::uint16_t port = kFirst; port <= kCount; ++port) {
        CHECK(mesh->at(port).table().live() == kCount);
        CHECK_FALSE(mesh->at(port).isolated());
      }
    }
  }

  WHEN("a node announces a planned stop") {
    mesh->at(4).Announce(mesh->now(), MemberState::kLeaving, true);
    mesh->Settle();
    THEN("all members learn of it at once, without a gossip round") {
      for (std::uint16_t port : {1, 2, 3, 9, 10}) {
        CHECK(mesh->StateOf(port, "node-4") == MemberState::kLeaving);
      }
    }
    AND_WHEN("it dies before it has left") {
      mesh->Stop(4);
      mesh->Pass(seconds(30));
      THEN("it is marked dead") {
        CHECK(mesh->StateOf(1, "node-4") == MemberState::kDead);
      }
    }
    AND_WHEN("it has left and starts again") {
      mesh->at(4).Announce(mesh->now(), MemberState::kLeft, false);
      mesh->Pass(milliseconds(800));
      mesh->Stop(4);
      CHECK(mesh->StateOf(1, "node-4") == MemberState::kLeft);
      mesh->Start("node-4", 4, 1);
      mesh->Pass(seconds(15));
      THEN("it is alive again") {
        CHECK(mesh->StateOf(1, "node-4") == MemberState::kAlive);
      }
    }
  }

  WHEN("a second process claims the name of a live one") {
    mesh->Pass(minutes(1));
    mesh->Start("node-2", 22, 101);
    mesh->Pass(seconds(30));
    THEN(
        "the conflict is reported, the later process keeps the name, and the "
        "incarnation is stable") {
      CHECK(mesh->conflicts > 0);
      CHECK(mesh->at(10).table().Find("node-2")->member.control_address.port ==
            22);
      const std::uint64_t incarnation =
          mesh->at(10).table().Find("node-2")->member.incarnation;
      mesh->Pass(minutes(2));
      CHECK(mesh->at(10).table().Find("node-2")->member.incarnation ==
            incarnation);
      AND_WHEN("the later process dies") {
        mesh->Stop(22);
        mesh->Pass(minutes(1));
        THEN("the first process regains its name") {
          const Member& held = mesh->at(10).table().Find("node-2")->member;
          CHECK(held.control_address.port == 2);
          CHECK(held.state == MemberState::kAlive);
        }
      }
    }
  }

  WHEN("a node is cut off from all others") {
    mesh->partitions[1] = 1;
    mesh->Pass(seconds(6));
    THEN("it considers itself isolated") {
      CHECK(mesh->at(1).isolated());
    }
  }

  CHECK(ViolationCount() == violations);
}

SCENARIO("peers report more members than the table can hold") {
  MembershipInit init;
  init.self = MakeMember("node-1", 1);
  Time now{hours(1)};
  Membership membership(init, now);
  GossipMessage news;
  news.kind = GossipKind::kSyncState;
  news.sender = "liar";
  for (std::size_t i = 0; i < 2 * kMaxMembers; ++i) {
    MemberUpdate update;
    update.whole = true;
    update.member = MakeMember(fmt::format("ghost-{}", i), 9);
    news.updates.assign(1, update);
    membership.OnMessage(now, {"10.0.0.9", 9}, news);
    membership.TakeActions();
  }
  THEN("the table is full and does not grow") {
    CHECK(membership.table().size() == kMaxMembers);
    CHECK(membership.stats().table_full > 0);
  }
}

SCENARIO("a failure domain's roster is maintained") {
  MemberDirectory directory;
  Roster roster;
  for (std::uint16_t port = 1; port <= 20; ++port) {
    directory.Put(MakeMember(NameOf(port), port));
  }
  const auto order = StableOrder(directory, "w1");
  REQUIRE(order.size() == 20);
  const Member keeper = *order[0];
  std::size_t keepers = 0;
  for (const auto& [name, member] : directory.members()) {
    keepers += IsRosterKeeper(directory, member) ? 1 : 0;
  }
  CHECK(keepers == kRosterKeepers);

  GIVEN("a roster of live seeds") {
    roster = *MendedRoster(roster, directory, keeper);
    REQUIRE(roster.members.size() == kMaxSeeds);
    THEN("it is not rewritten") {
      CHECK_FALSE(MendedRoster(roster, directory, keeper).has_value());
    }
    WHEN("a seed restarts") {
      Member seed = roster.members[0];
      seed.incarnation += 10;
      directory.Put(seed);
      THEN("the roster is not rewritten") {
        CHECK_FALSE(MendedRoster(roster, directory, keeper).has_value());
      }
    }
    WHEN("a seed dies or moves to another address") {
      Member seed = roster.members[0];
      SECTION("dead") {
        seed.state = MemberState::kDead;
      }
      SECTION("at another address") {
        seed.control_address.port = 99;
      }
      directory.Put(seed);
      const auto mended = MendedRoster(roster, directory, keeper);
      REQUIRE(mended.has_value());
      CHECK(mended->members.size() == kMaxSeeds);
      CHECK(std::find(mended->members.begin(), mended->members.end(),
                      roster.members[0]) == mended->members.end());
    }
  }
}

}  // namespace
}  // namespace verbenastile
