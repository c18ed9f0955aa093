#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "core/distribution.h"
#include "support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Rule RuleTo(int number, const std::string& service) {
  Rule rule;
  rule.id = fmt::format("rule-{}", number);
  rule.match.path_prefix = fmt::format("/programmes/{}", number);
  RouteAction route;
  route.targets.push_back({service, 1});
  rule.action = route;
  return rule;
}

RuleDocument DocumentOf(int rules) {
  RuleDocument document;
  document.services.push_back({"booking", {}, {}});
  for (int number = 0; number < rules; ++number) {
    document.rules.push_back(RuleTo(number, "booking"));
  }
  return document;
}

SnapshotPointer Make(Generation generation, const RuleDocument& document) {
  return std::make_shared<const Snapshot>(MakeSnapshot(generation, document));
}

Member MemberOf(int number, const std::string& domain) {
  Member member;
  member.name = fmt::format("node-{}", number);
  member.failure_domain = domain;
  member.control_address = {fmt::format("10.0.0.{}", number), 7000};
  return member;
}

PeerIdentity IdentityOf(const Member& member) {
  return {member.name, member.failure_domain, member.control_address};
}

// A node's distribution with its applier and a directory of peers.
struct Fixture {
  explicit Fixture(DistributionInit init = {}, int peers = 6)
      : chart(MustSucceed([] { return LoadEmbeddedChart("config_apply"); })),
        applier(&chart),
        self(MemberOf(100, "windhoek-1")) {
    for (int number = 1; number <= peers; ++number) {
      directory.Put(MemberOf(number, "windhoek-1"));
    }
    init.seed = 7;
    distribution =
        std::make_unique<Distribution>(init, self, &directory, &applier);
    distribution->Start(now);
    distribution->TakeActions();
  }

  PeerIdentity Peer(int number) const {
    return IdentityOf(MemberOf(number, "windhoek-1"));
  }

  // Takes all pending actions and returns those of type `T`.
  template <typename T>
  std::vector<T> TakeActionsOf() {
    std::vector<T> found;
    for (DistributionAction& action : distribution->TakeActions()) {
      if (auto* wanted = std::get_if<T>(&action)) {
        found.push_back(std::move(*wanted));
      }
    }
    return found;
  }

  template <typename M>
  std::vector<M> TakeSent() {
    std::vector<M> found;
    for (SendAction& send : TakeActionsOf<SendAction>()) {
      if (auto* wanted = std::get_if<M>(&send.message)) {
        found.push_back(std::move(*wanted));
      }
    }
    return found;
  }

  void AdvanceTime(Duration time) {
    const Time end = now + time;
    while (distribution->next_time() <= end) {
      now = std::max(now, distribution->next_time());
      distribution->OnTime(now);
    }
    now = end;
  }

  void Receive(int peer, DistributionMessage message) {
    distribution->OnMessage(now, Peer(peer), std::move(message));
  }

  // Puts `snapshot` into force: two peers announce it and one sends it whole.
  void PutIntoForce(const SnapshotPointer& snapshot) {
    Receive(1, SummaryMessage{VersionOf(*snapshot), false});
    Receive(2, SummaryMessage{VersionOf(*snapshot), false});
    Receive(1, MakeFullDelta(*snapshot));
    distribution->TakeActions();
  }

  StateChart chart;
  ConfigApplier applier;
  MemberDirectory directory;
  Member self;
  Time now = Time(seconds(100));
  std::unique_ptr<Distribution> distribution;
};

SCENARIO("a delta transforms one generation into another") {
  const Snapshot before = MakeSnapshot(1, DocumentOf(1'000));

  GIVEN("one changed rule among a thousand") {
    RuleDocument document = DocumentOf(1'000);
    document.rules[500].match.method = "PUT";
    const Snapshot after = MakeSnapshot(2, document);
    const Delta delta = MakeDelta(before, after);
    THEN("the delta contains only that rule") {
      CHECK(WireBytes(delta) < 600);
      const auto made = ApplyDelta(before.items, delta);
      REQUIRE(made);
      CHECK(VersionOf(*made) == VersionOf(after));
    }
    THEN("the delta is rejected for a different base") {
      CHECK_FALSE(ApplyDelta(after.items, MakeDelta(after, before)) ==
                  std::nullopt);
      CHECK(ApplyDelta({}, delta) == std::nullopt);
      CHECK(ApplyDelta(std::span(before.items).first(900), delta) ==
            std::nullopt);
    }
  }
  GIVEN("rules that were moved, removed and added") {
    RuleDocument document = DocumentOf(1'000);
    std::swap(document.rules[3], document.rules[900]);
    document.rules.erase(document.rules.begin() + 40);
    document.rules.push_back(RuleTo(5'000, "booking"));
    const Snapshot after = MakeSnapshot(2, document);
    const auto made = ApplyDelta(before.items, MakeDelta(before, after));
    REQUIRE(made);
    CHECK(VersionOf(*made) == VersionOf(after));
  }
  GIVEN("splices out of the base's range") {
    Delta delta = MakeDelta(before, before);
    delta.splices = {{4'000'000'000U, 4'000'000'000U, {}}};
    CHECK(ApplyDelta(before.items, delta) == std::nullopt);
    delta.splices.assign(1'000, {0, 1'000, {}});
    CHECK(ApplyDelta(before.items, delta) == std::nullopt);
  }
}

SCENARIO("the history of generations is bounded") {
  SnapshotHistory history(4, 100'000);
  for (Generation generation = 1; generation <= 20; ++generation) {
    history.Add(Make(generation, DocumentOf(static_cast<int>(generation))));
  }
  CHECK(history.size() <= 4);
  const auto newest = MakeSnapshot(20, DocumentOf(20));
  CHECK(history.Find(VersionOf(newest)));
  WHEN("generations share no items") {
    SnapshotHistory narrow(100, 100'000);
    for (Generation generation = 1; generation <= 20; ++generation) {
      narrow.Add(Make(generation, DocumentOf(200)));
      CHECK((narrow.old_bytes() <= 100'000 || narrow.size() == 1));
    }
  }
}

SCENARIO("the bytes sent to a peer are limited") {
  DistributionInit init;
  init.node_rate = {1'000, 2'000};
  init.peer_rate = {1'000, 2'000};
  Fixture node(init);
  node.PutIntoForce(Make(1, DocumentOf(50)));
  int answers = 0;
  for (int asked = 0; asked < 20; ++asked) {
    node.Receive(4, AskMessage{AskMessage::Form::kWhole, {}, {}});
    answers += static_cast<int>(node.TakeSent<Delta>().size());
  }
  CHECK(answers == 1);
  CHECK(node.distribution->stats().over_budget >= 19);
  THEN("it answers again once the budget has refilled") {
    node.AdvanceTime(seconds(60));
    node.distribution->TakeActions();
    node.Receive(4, AskMessage{AskMessage::Form::kWhole, {}, {}});
    CHECK(node.TakeSent<Delta>().size() == 1);
  }
}

SCENARIO("members compute consistent readers and trees independently") {
  MemberDirectory directory;
  for (int number = 1; number <= 60; ++number) {
    directory.Put(
        MemberOf(number, number % 2 == 0 ? "windhoek-1" : "windhoek-2"));
  }
  std::map<std::string, int> parents;
  int readers = 0;
  int writers = 0;
  for (const auto& [name, member] : directory.members()) {
    const TreePlace place = PlaceOf(directory, member);
    readers += place.reader ? 1 : 0;
    writers += place.writer ? 1 : 0;
    CHECK(place.children.size() <= kFanOut);
    for (const TreePeer& child : place.children) {
      ++parents[child.name];
      CHECK(PlaceOf(directory, *directory.Find(child.name)).parent.name ==
            name);
    }
  }
  CHECK(readers == 2 * static_cast<int>(kReadersPerDomain));
  CHECK(writers == 2);
  THEN("each member that is not a reader has exactly one parent") {
    CHECK(parents.size() == 60 - static_cast<std::size_t>(readers));
    for (const auto& [name, count] : parents) {
      CHECK(count == 1);
    }
  }
}

SCENARIO("a starting node requires enough sources to accept a generation") {
  StartGate gate(StartGateInit{});
  const Time start{};
  const Version old_version{4, {1, 1}};
  const Version new_version{7, {2, 2}};
  const Version forked_version{7, {3, 3}};

  GIVEN("no reported version") {
    CHECK(gate.Decide(start + seconds(60)) == std::nullopt);
    CHECK(gate.Explain().find("neither") != std::string::npos);
  }
  GIVEN("two peers that report the same version") {
    gate.OnPeer(start, "a", new_version);
    CHECK(gate.Decide(start) == std::nullopt);
    gate.OnPeer(start, "b", new_version);
    CHECK(gate.Decide(start) == new_version);
  }
  GIVEN("a single peer") {
    gate.OnPeer(start, "a", new_version);
    CHECK(gate.Decide(start + seconds(1)) == std::nullopt);
    CHECK(gate.Decide(start + seconds(4)) == new_version);
  }
  GIVEN("a platform restored from an old backup and a newer peer") {
    gate.OnPlatform(start, old_version);
    gate.OnPeer(start + milliseconds(300), "a", new_version);
    CHECK(gate.Decide(start + seconds(1)) == new_version);
  }
  GIVEN("peers that disagree on the newest version") {
    gate.OnPeer(start, "a", new_version);
    gate.OnPeer(start, "b", forked_version);
    CHECK(gate.Decide(start + seconds(9)) == std::nullopt);
    gate.OnPeer(start, "c", forked_version);
    CHECK(gate.Decide(start) == forked_version);
  }
}

SCENARIO("generations arrive from peers") {
  Fixture node;
  const SnapshotPointer first = Make(1, DocumentOf(50));
  RuleDocument changed = DocumentOf(50);
  changed.rules[7].match.method = "PUT";
  const SnapshotPointer second = Make(2, changed);
  node.PutIntoForce(first);
  REQUIRE(node.applier.generation() == 1);

  WHEN("a delta arrives") {
    const Delta delta = MakeDelta(*first, *second);
    node.Receive(1, delta);
    CHECK(node.applier.generation() == 2);
    node.distribution->TakeActions();
    THEN("a repeated delta and a delta to an older generation are ignored") {
      node.Receive(2, delta);
      node.Receive(2, MakeDelta(*second, *first));
      CHECK(node.applier.generation() == 2);
      CHECK(node.distribution->stats().duplicates == 1);
      CHECK(node.distribution->stats().stale == 1);
    }
    THEN("different content for the same generation is counted, not applied") {
      node.Receive(3, MakeFullDelta(*Make(2, DocumentOf(9))));
      CHECK(VersionOf(*node.applier.snapshot()) == VersionOf(*second));
      CHECK(node.distribution->stats().forked == 1);
    }
    THEN("it sends a delta to a peer that is behind") {
      node.Receive(4, AskMessage{AskMessage::Form::kDelta, VersionOf(*first),
                                 VersionOf(*second)});
      const auto deltas = node.TakeSent<Delta>();
      REQUIRE(deltas.size() == 1);
      CHECK_FALSE(deltas[0].is_full());
    }
    THEN("it sends digests to a peer whose base it does not hold") {
      node.Receive(
          4, AskMessage{
                 AskMessage::Form::kDelta, {1, {9, 9}}, VersionOf(*second)});
      CHECK(node.TakeSent<DigestsMessage>().size() == 1);
    }
  }
  WHEN("the content of a delta does not match its digest") {
    Delta delta = MakeDelta(*first, *second);
    delta.splices[0].items.push_back(
        MakeItem(ItemKind::kRule, ToCanonicalText(RuleTo(99, "booking"))));
    node.Receive(1, delta);
    CHECK(node.applier.generation() == 1);
    CHECK(node.distribution->stats().bad_content == 1);
    THEN("it requests the digests of all items, then the missing items") {
      REQUIRE(node.TakeSent<AskMessage>().size() == 1);
      DigestsMessage digests{VersionOf(*second), {}};
      for (const ItemPointer& item : second->items) {
        digests.digests.push_back(item->digest);
      }
      node.Receive(1, digests);
      const auto asked = node.TakeSent<ItemsAskMessage>();
      REQUIRE(asked.size() == 1);
      REQUIRE(asked[0].indexes.size() == 1);
      AND_WHEN("the missing items arrive") {
        node.Receive(1, ItemsMessage{VersionOf(*second),
                                     {second->items[asked[0].indexes[0]]}});
        CHECK(node.applier.generation() == 2);
      }
      AND_WHEN("other items arrive instead") {
        node.Receive(1, ItemsMessage{VersionOf(*second), {first->items[3]}});
        CHECK(node.applier.generation() == 1);
        const auto asks = node.TakeSent<AskMessage>();
        REQUIRE(asks.size() == 1);
        CHECK(asks[0].form == AskMessage::Form::kWhole);
        THEN("a bad whole snapshot closes the connection") {
          Delta whole = MakeFullDelta(*second);
          whole.splices[0].items.pop_back();
          node.Receive(1, whole);
          CHECK(node.TakeActionsOf<CloseAction>().size() == 1);
          CHECK(node.applier.generation() == 1);
        }
      }
    }
  }
  WHEN("a generation routes to a service that it does not define") {
    RuleDocument bad = changed;
    bad.rules[0] = RuleTo(0, "nowhere");
    const SnapshotPointer refused = Make(3, bad);
    node.Receive(1, MakeDelta(*first, *refused));
    CHECK(node.applier.generation() == 1);
    CHECK(node.applier.refusal().generation == 3);
    THEN("the failure domain's view shows it and it is not requested again") {
      const FleetView fleet = node.distribution->fleet(node.now);
      const DomainView& view = fleet.domains.at("windhoek-1");
      CHECK(view.refusal.generation == 3);
      CHECK(view.refused_by == 1);
      node.distribution->TakeActions();
      node.Receive(2, SummaryMessage{VersionOf(*refused), false});
      CHECK(node.TakeSent<AskMessage>().empty());
    }
    THEN("the next valid generation is applied") {
      node.Receive(1, MakeDelta(*first, *Make(4, changed)));
      CHECK(node.applier.generation() == 4);
    }
  }
}

SCENARIO("a node restarts while the platform is down") {
  Fixture node;
  const SnapshotPointer newest = Make(9, DocumentOf(10));

  GIVEN("peers that run the newest generation") {
    node.Receive(1, SummaryMessage{VersionOf(*newest), false});
    THEN("it requests the content and applies it once a second peer agrees") {
      CHECK(node.TakeSent<AskMessage>().size() == 1);
      node.Receive(1, MakeFullDelta(*newest));
      CHECK(node.applier.generation() == 0);
      node.Receive(2, SummaryMessage{VersionOf(*newest), false});
      CHECK(node.applier.generation() == 9);
    }
  }
  GIVEN("peers that have restarted too") {
    node.Receive(1, SummaryMessage{{}, true});
    node.Receive(2, SummaryMessage{{}, true});
    node.AdvanceTime(seconds(30));
    THEN("it applies nothing and reports why") {
      CHECK(node.applier.generation() == 0);
      CHECK(node.distribution->waiting_for().find("neither") !=
            std::string::npos);
    }
  }
}

SCENARIO("a platform whose history differs from the running generation") {
  Fixture node;
  const SnapshotPointer running = Make(9, DocumentOf(10));
  node.PutIntoForce(running);

  WHEN("it names an older generation") {
    node.distribution->OnPlatformHead(node.now, {4, {1, 1}});
    CHECK(node.distribution->other_history());
    CHECK(node.applier.generation() == 9);
    const auto offered = node.TakeActionsOf<OfferedAction>();
    REQUIRE(offered.size() == 1);
    CHECK(offered[0].outcome == ApplyOutcome::kOlder);
    THEN("the status shows it until the platform is ahead again") {
      const FleetView fleet = node.distribution->fleet(node.now);
      CHECK(fleet.domains.at("windhoek-1").other_history == 1);
      node.distribution->OnPlatformHead(node.now, {10, {1, 1}});
      CHECK_FALSE(node.distribution->other_history());
    }
  }
  WHEN("it names different content for the generation in force") {
    node.distribution->OnPlatformHead(node.now, {9, {1, 1}});
    CHECK(node.distribution->other_history());
    CHECK(VersionOf(*node.applier.snapshot()) == VersionOf(*running));
  }
}

SCENARIO("when a node follows the platform") {
  Random random(3);
  ReaderTurn turn(ReaderTurnInit{});
  const Time start = Time(seconds(10));
  turn.Start(start);
  ReaderView view;
  view.fleet_size = 200;
  view.last_heard = start;

  GIVEN("a node that is not a reader") {
    for (int tick = 0; tick < 250; ++tick) {
      CHECK_FALSE(turn.Update(start + milliseconds(200) * tick, view, random));
    }
    THEN("it follows after a long time without messages from peers") {
      bool following = false;
      for (int tick = 0; tick < 400; ++tick) {
        following = turn.Update(start + seconds(50) + milliseconds(200) * tick,
                                view, random);
      }
      CHECK(following);
    }
  }
  GIVEN("200 nodes that become readers at once") {
    view.chosen = true;
    std::map<std::int64_t, int> starts_per_second;
    for (int node = 0; node < 200; ++node) {
      ReaderTurn one{ReaderTurnInit{}};
      one.Start(start);
      Time now = start;
      while (!one.Update(now, view, random)) {
        now += milliseconds(50);
      }
      ++starts_per_second[ToMilliseconds(now - start) / 1'000];
    }
    THEN("their starts are spread over several seconds") {
      for (const auto& [second, count] : starts_per_second) {
        CHECK(count < 100);
      }
    }
  }
  GIVEN("a reader that is replaced") {
    view.chosen = true;
    Time now = start;
    while (!turn.Update(now, view, random)) {
      now += milliseconds(50);
    }
    view.chosen = false;
    view.last_heard = now;
    CHECK(turn.Update(now, view, random));
    CHECK_FALSE(turn.reading());
    CHECK_FALSE(turn.Update(now + seconds(6), view, random));
  }
}

SCENARIO("reports are summed on the way up the tree") {
  DomainReports reports(seconds(25));
  const Time now = Time(seconds(5));
  TreePlace place;
  place.writer = true;
  place.domain_size = 5;
  place.reporters = {{"left", {}}, {"right", {}}, {"silent", {}}};
  DomainView own{"windhoek-1", 7, 1, {{7, 1}}, {{"self", 7}}, {}, 0, 0};
  DomainView behind{"windhoek-1",           6, 1, {{6, 1}}, {},
                    {7, "no such service"}, 1, 0};
  reports.OnReport(now, "left", behind);
  reports.OnReport(now, "right", {"windhoek-1", 7, 2, {{7, 2}}, {}, {}, 0, 0});

  const DomainView sum = reports.Sum(now, place, own);
  CHECK(sum.nodes == 5);
  CHECK(sum.AtLeast(7) == 3);
  CHECK(sum.AtLeast(6) == 4);
  CHECK(sum.refused_by == 1);
  REQUIRE(sum.laggards.size() == 2);
  CHECK(sum.laggards[0] == Laggard{"silent", 0});
  CHECK(sum.laggards[1] == Laggard{"left", 6});
  THEN("an expired report is ignored") {
    const DomainView later = reports.Sum(now + seconds(30), place, own);
    CHECK(later.AtLeast(7) == 1);
  }
  THEN("the sum survives a round trip through JSON") {
    const DomainView back =
        MustSucceed([&] { return ParseDomainView(ToJson(sum)); });
    CHECK(back == sum);
  }
}

}  // namespace
}  // namespace verbenastile
