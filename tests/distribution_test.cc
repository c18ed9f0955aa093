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

// A distribution, its applier, and what it did.
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

  // Actions of type `T` since the last call, of all that were taken.
  template <typename T>
  std::vector<T> Taken() {
    std::vector<T> found;
    for (DistributionAction& action : distribution->TakeActions()) {
      if (auto* wanted = std::get_if<T>(&action)) {
        found.push_back(std::move(*wanted));
      }
    }
    return found;
  }

  template <typename M>
  std::vector<M> Sent() {
    std::vector<M> found;
    for (SendAction& send : Taken<SendAction>()) {
      if (auto* wanted = std::get_if<M>(&send.message)) {
        found.push_back(std::move(*wanted));
      }
    }
    return found;
  }

  void Pass(Duration time) {
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

  // Puts `snapshot` into force by what two peers say.
  void Take(const SnapshotPointer& snapshot) {
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

SCENARIO("a delta leads from one generation to another") {
  const Snapshot before = MakeSnapshot(1, DocumentOf(1'000));

  GIVEN("one changed rule among a thousand") {
    RuleDocument document = DocumentOf(1'000);
    document.rules[500].match.method = "PUT";
    const Snapshot after = MakeSnapshot(2, document);
    const Delta delta = MakeDelta(before, after);
    THEN("it holds that rule alone") {
      CHECK(WireBytes(delta) < 600);
      const auto made = ApplyDelta(before.items, delta);
      REQUIRE(made);
      CHECK(VersionOf(*made) == VersionOf(after));
    }
    THEN("it does not fit another base") {
      CHECK_FALSE(ApplyDelta(after.items, MakeDelta(after, before)) ==
                  std::nullopt);
      CHECK(ApplyDelta({}, delta) == std::nullopt);
      CHECK(ApplyDelta(std::span(before.items).first(900), delta) ==
            std::nullopt);
    }
  }
  GIVEN("rules that moved, went and came") {
    RuleDocument document = DocumentOf(1'000);
    std::swap(document.rules[3], document.rules[900]);
    document.rules.erase(document.rules.begin() + 40);
    document.rules.push_back(RuleTo(5'000, "booking"));
    const Snapshot after = MakeSnapshot(2, document);
    const auto made = ApplyDelta(before.items, MakeDelta(before, after));
    REQUIRE(made);
    CHECK(VersionOf(*made) == VersionOf(after));
  }
  GIVEN("ranges that are not in the base") {
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
  WHEN("generations share nothing") {
    SnapshotHistory narrow(100, 100'000);
    for (Generation generation = 1; generation <= 20; ++generation) {
      narrow.Add(Make(generation, DocumentOf(200)));
      CHECK((narrow.old_bytes() <= 100'000 || narrow.size() == 1));
    }
  }
}

SCENARIO("bytes to a peer are bounded") {
  DistributionInit init;
  init.node_rate = {1'000, 2'000};
  init.peer_rate = {1'000, 2'000};
  Fixture node(init);
  node.Take(Make(1, DocumentOf(50)));
  int answers = 0;
  for (int asked = 0; asked < 20; ++asked) {
    node.Receive(4, AskMessage{AskMessage::Form::kWhole, {}, {}});
    answers += static_cast<int>(node.Sent<Delta>().size());
  }
  CHECK(answers == 1);
  CHECK(node.distribution->stats().over_budget >= 19);
  THEN("it answers again after a while") {
    node.Pass(seconds(60));
    node.distribution->TakeActions();
    node.Receive(4, AskMessage{AskMessage::Form::kWhole, {}, {}});
    CHECK(node.Sent<Delta>().size() == 1);
  }
}

SCENARIO("readers and a tree are found by each member alone") {
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
  THEN("each member that is no reader has one parent") {
    CHECK(parents.size() == 60 - static_cast<std::size_t>(readers));
    for (const auto& [name, count] : parents) {
      CHECK(count == 1);
    }
  }
}

SCENARIO("a starting node hears enough before it takes a generation") {
  StartGate gate(StartGateInit{});
  const Time start{};
  const Version old_one{4, {1, 1}};
  const Version new_one{7, {2, 2}};
  const Version other_seven{7, {3, 3}};

  GIVEN("nothing") {
    CHECK(gate.Decide(start + seconds(60)) == std::nullopt);
    CHECK(gate.Explain().find("neither") != std::string::npos);
  }
  GIVEN("two peers that agree") {
    gate.OnPeer(start, "a", new_one);
    CHECK(gate.Decide(start) == std::nullopt);
    gate.OnPeer(start, "b", new_one);
    CHECK(gate.Decide(start) == new_one);
  }
  GIVEN("one peer alone") {
    gate.OnPeer(start, "a", new_one);
    CHECK(gate.Decide(start + seconds(1)) == std::nullopt);
    CHECK(gate.Decide(start + seconds(4)) == new_one);
  }
  GIVEN("a platform from an old backup, and a peer") {
    gate.OnPlatform(start, old_one);
    gate.OnPeer(start + milliseconds(300), "a", new_one);
    CHECK(gate.Decide(start + seconds(1)) == new_one);
  }
  GIVEN("peers that disagree on the newest") {
    gate.OnPeer(start, "a", new_one);
    gate.OnPeer(start, "b", other_seven);
    CHECK(gate.Decide(start + seconds(9)) == std::nullopt);
    gate.OnPeer(start, "c", other_seven);
    CHECK(gate.Decide(start) == other_seven);
  }
}

SCENARIO("generations arrive from peers") {
  Fixture node;
  const SnapshotPointer first = Make(1, DocumentOf(50));
  RuleDocument changed = DocumentOf(50);
  changed.rules[7].match.method = "PUT";
  const SnapshotPointer second = Make(2, changed);
  node.Take(first);
  REQUIRE(node.applier.generation() == 1);

  WHEN("a delta comes") {
    const Delta delta = MakeDelta(*first, *second);
    node.Receive(1, delta);
    CHECK(node.applier.generation() == 2);
    node.distribution->TakeActions();
    THEN("the same delta changes nothing, nor does the way back") {
      node.Receive(2, delta);
      node.Receive(2, MakeDelta(*second, *first));
      CHECK(node.applier.generation() == 2);
      CHECK(node.distribution->stats().duplicates == 1);
      CHECK(node.distribution->stats().stale == 1);
    }
    THEN("other content of the same generation is counted, not taken") {
      node.Receive(3, MakeFullDelta(*Make(2, DocumentOf(9))));
      CHECK(VersionOf(*node.applier.snapshot()) == VersionOf(*second));
      CHECK(node.distribution->stats().forked == 1);
    }
    THEN("it gives the delta to a peer that is behind") {
      node.Receive(4, AskMessage{AskMessage::Form::kDelta, VersionOf(*first),
                                 VersionOf(*second)});
      const auto deltas = node.Sent<Delta>();
      REQUIRE(deltas.size() == 1);
      CHECK_FALSE(deltas[0].is_full());
    }
    THEN("it gives digests to a peer whose base it does not hold") {
      node.Receive(
          4, AskMessage{
                 AskMessage::Form::kDelta, {1, {9, 9}}, VersionOf(*second)});
      CHECK(node.Sent<DigestsMessage>().size() == 1);
    }
  }
  WHEN("a delta holds something else than its digest says") {
    Delta delta = MakeDelta(*first, *second);
    delta.splices[0].items.push_back(
        MakeItem(ItemKind::kRule, ToCanonicalText(RuleTo(99, "booking"))));
    node.Receive(1, delta);
    CHECK(node.applier.generation() == 1);
    CHECK(node.distribution->stats().bad_content == 1);
    THEN("the digests of all items are asked for, then what is missing") {
      REQUIRE(node.Sent<AskMessage>().size() == 1);
      DigestsMessage digests{VersionOf(*second), {}};
      for (const ItemPointer& item : second->items) {
        digests.digests.push_back(item->digest);
      }
      node.Receive(1, digests);
      const auto asked = node.Sent<ItemsAskMessage>();
      REQUIRE(asked.size() == 1);
      REQUIRE(asked[0].indexes.size() == 1);
      AND_WHEN("they come") {
        node.Receive(1, ItemsMessage{VersionOf(*second),
                                     {second->items[asked[0].indexes[0]]}});
        CHECK(node.applier.generation() == 2);
      }
      AND_WHEN("others come instead") {
        node.Receive(1, ItemsMessage{VersionOf(*second), {first->items[3]}});
        CHECK(node.applier.generation() == 1);
        const auto asks = node.Sent<AskMessage>();
        REQUIRE(asks.size() == 1);
        CHECK(asks[0].form == AskMessage::Form::kWhole);
        THEN("a bad whole ends the connection") {
          Delta whole = MakeFullDelta(*second);
          whole.splices[0].items.pop_back();
          node.Receive(1, whole);
          CHECK(node.Taken<CloseAction>().size() == 1);
          CHECK(node.applier.generation() == 1);
        }
      }
    }
  }
  WHEN("a generation routes to what it does not hold") {
    RuleDocument bad = changed;
    bad.rules[0] = RuleTo(0, "nowhere");
    const SnapshotPointer refused = Make(3, bad);
    node.Receive(1, MakeDelta(*first, *refused));
    CHECK(node.applier.generation() == 1);
    CHECK(node.applier.refusal().generation == 3);
    THEN("it is seen in the failure domain's view, and not taken again") {
      const FleetView fleet = node.distribution->fleet(node.now);
      const DomainView& view = fleet.domains.at("windhoek-1");
      CHECK(view.refusal.generation == 3);
      CHECK(view.refused_by == 1);
      node.distribution->TakeActions();
      node.Receive(2, SummaryMessage{VersionOf(*refused), false});
      CHECK(node.Sent<AskMessage>().empty());
    }
    THEN("the next good one is taken") {
      node.Receive(1, MakeDelta(*first, *Make(4, changed)));
      CHECK(node.applier.generation() == 4);
    }
  }
}

SCENARIO("a node that restarts while the platform is down") {
  Fixture node;
  const SnapshotPointer newest = Make(9, DocumentOf(10));

  GIVEN("peers that run the newest generation") {
    node.Receive(1, SummaryMessage{VersionOf(*newest), false});
    THEN("it asks for the content and holds it back until a second agrees") {
      CHECK(node.Sent<AskMessage>().size() == 1);
      node.Receive(1, MakeFullDelta(*newest));
      CHECK(node.applier.generation() == 0);
      node.Receive(2, SummaryMessage{VersionOf(*newest), false});
      CHECK(node.applier.generation() == 9);
    }
  }
  GIVEN("peers that restart as well") {
    node.Receive(1, SummaryMessage{{}, true});
    node.Receive(2, SummaryMessage{{}, true});
    node.Pass(seconds(30));
    THEN("it does not serve, and says why") {
      CHECK(node.applier.generation() == 0);
      CHECK(node.distribution->waiting_for().find("neither") !=
            std::string::npos);
    }
  }
}

SCENARIO("a platform with another history") {
  Fixture node;
  const SnapshotPointer running = Make(9, DocumentOf(10));
  node.Take(running);

  WHEN("it names an older generation") {
    node.distribution->OnPlatformHead(node.now, {4, {1, 1}});
    CHECK(node.distribution->other_history());
    CHECK(node.applier.generation() == 9);
    const auto offered = node.Taken<OfferedAction>();
    REQUIRE(offered.size() == 1);
    CHECK(offered[0].outcome == ApplyOutcome::kOlder);
    THEN("operators see it until the platform is ahead again") {
      const FleetView fleet = node.distribution->fleet(node.now);
      CHECK(fleet.domains.at("windhoek-1").other_history == 1);
      node.distribution->OnPlatformHead(node.now, {10, {1, 1}});
      CHECK_FALSE(node.distribution->other_history());
    }
  }
  WHEN("it names other content for the generation in force") {
    node.distribution->OnPlatformHead(node.now, {9, {1, 1}});
    CHECK(node.distribution->other_history());
    CHECK(VersionOf(*node.applier.snapshot()) == VersionOf(*running));
  }
}

SCENARIO("who follows the platform, and when") {
  Random random(3);
  ReaderTurn turn(ReaderTurnInit{});
  const Time start = Time(seconds(10));
  turn.Start(start);
  ReaderView view;
  view.fleet_size = 200;
  view.last_heard = start;

  GIVEN("a node that is no reader") {
    for (int tick = 0; tick < 250; ++tick) {
      CHECK_FALSE(turn.Update(start + milliseconds(200) * tick, view, random));
    }
    THEN("it follows when it hears nobody for long") {
      bool following = false;
      for (int tick = 0; tick < 400; ++tick) {
        following = turn.Update(start + seconds(50) + milliseconds(200) * tick,
                                view, random);
      }
      CHECK(following);
    }
  }
  GIVEN("200 nodes that are all chosen at once") {
    view.chosen = true;
    std::map<std::int64_t, int> begins;
    for (int node = 0; node < 200; ++node) {
      ReaderTurn one{ReaderTurnInit{}};
      one.Start(start);
      Time now = start;
      while (!one.Update(now, view, random)) {
        now += milliseconds(50);
      }
      ++begins[ToMilliseconds(now - start) / 1'000];
    }
    THEN("they begin spread over seconds") {
      for (const auto& [second, count] : begins) {
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

SCENARIO("what the nodes run is added up on the way") {
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
  THEN("an old report counts no more") {
    const DomainView later = reports.Sum(now + seconds(30), place, own);
    CHECK(later.AtLeast(7) == 1);
  }
  THEN("it goes to the platform and back") {
    const DomainView back =
        MustSucceed([&] { return ParseDomainView(ToJson(sum)); });
    CHECK(back == sum);
  }
}

}  // namespace
}  // namespace verbenastile
