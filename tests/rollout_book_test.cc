#include <catch2/catch.hpp>

#include "cli/rollout_status.h"
#include "core/rollout_book.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

RolloutOrder MakeOrder(std::uint64_t id, std::int64_t revision) {
  return {"booking", "v2", 60 * kSecond, id, 1, revision};
}

// Nodes n-0 to n-4: their instances run v1, but for the last two, which run v2.
struct BookFleet {
  BookFleet() {
    for (int i = 0; i < 5; ++i) {
      Member member;
      member.name = "n-" + std::to_string(i);
      member.service = "booking";
      member.software = i < 3 ? "v1" : "v2";
      directory.Put(member);
      Restart(i);
    }
  }
  void Restart(int node) {
    books.insert_or_assign(
        node, RolloutBook({"n-" + std::to_string(node), ++incarnations, 80,
                           Time(100 * kSecond)}));
  }
  void UpdateAll() {
    for (auto& [node, book] : books) {
      book.Update(directory, now);
    }
  }
  // Each node that is not cut off reports to the judges, and they judge. They
  // tell their verdicts to all that are not cut off.
  void Exchange(Duration passed) {
    now += passed;
    UpdateAll();
    for (auto& [node, book] : books) {
      Rollout* rollout = book.Find("booking");
      if (rollout == nullptr || cut.contains(node)) {
        continue;
      }
      const RolloutReport report = book.TakeReport(*rollout, true, now);
      for (auto& [peer, judge] : books) {
        if (!cut.contains(peer)) {
          judge.OnReport(report, now);
        }
      }
    }
    for (auto& [node, book] : books) {
      if (!book.Judge(now).empty() && !cut.contains(node)) {
        for (auto& [peer, other] : books) {
          if (!cut.contains(peer)) {
            other.OnReport(book.Summary(*book.Find("booking"), now), now);
          }
        }
      }
    }
  }
  // Outcomes that node 0 sees: 400 of the old version, 60 of the target.
  void AddOutcomes(int failures) {
    Rollout& rollout = *books.at(0).Find("booking");
    for (int i = 0; i < 400; ++i) {
      rollout.outcomes.AddAnswer({"read", "", false, false}, kSecond / 10);
    }
    for (int i = 0; i < 60; ++i) {
      const OutcomeKey key{"read", i % 2 == 0 ? "n-3" : "n-4", false, false};
      i < failures ? rollout.outcomes.AddFailure(key)
                   : rollout.outcomes.AddAnswer(key, kSecond / 10);
    }
  }
  RolloutReport OrderOf(int node) {
    RolloutBook& book = books.at(node);
    book.OnStored(MakeOrder(7, 500), std::nullopt, now);
    return book.Summary(*book.Find("booking"), now);
  }
  RolloutState State(int node) { return books.at(node).Find("booking")->state; }
  // The nodes that would write a status now.
  std::map<int, RolloutState> Writers() {
    std::map<int, RolloutState> writers;
    for (auto& [node, book] : books) {
      if (const auto state = book.StatusToWrite(*book.Find("booking"), now)) {
        writers[node] = *state;
      }
    }
    return writers;
  }

  MemberDirectory directory;
  std::map<int, RolloutBook> books;
  std::uint64_t incarnations = 0;
  std::set<int> cut;
  Time now{100 * kSecond};
};

SCENARIO("an order is judged and its status written") {
  BookFleet fleet;
  for (auto& [node, book] : fleet.books) {
    book.OnStored(MakeOrder(7, 500), std::nullopt, fleet.now);
  }
  fleet.UpdateAll();
  THEN("one node writes first that it runs") {
    REQUIRE(fleet.Writers().size() == 1);
    CHECK(fleet.Writers().begin()->second == RolloutState::kRunning);
    CHECK(fleet.books.at(0).held() ==
          std::set<std::string, std::less<>>{"n-3", "n-4"});
  }
  WHEN("it fails at both instances") {
    fleet.AddOutcomes(50);
    fleet.Exchange(kSecond);
    THEN("all nodes return from it, and the judges write so one by one") {
      CHECK(fleet.State(0) == RolloutState::kRolledBack);
      CHECK(fleet.State(4) == RolloutState::kRolledBack);
      CHECK(fleet.Writers().size() == 1);
      fleet.now += 5 * kSecond;  // The store is away.
      CHECK(fleet.Writers().size() == 5);
    }
    THEN("a node that is restarted before the word is written learns of it") {
      fleet.Restart(0);
      fleet.Exchange(kSecond);
      CHECK(fleet.State(0) == RolloutState::kRolledBack);
    }
    THEN("the word in the store is final") {
      RolloutBook& book = fleet.books.at(0);
      book.OnStored(MakeOrder(7, 502),
                    RolloutStatus{RolloutState::kCompleted, Duration(0)},
                    fleet.now);
      CHECK(book.Find("booking")->state == RolloutState::kCompleted);
      CHECK_FALSE(book.StatusToWrite(*book.Find("booking"), fleet.now));
      RolloutReport other = fleet.books.at(1).Summary(
          *fleet.books.at(1).Find("booking"), fleet.now);
      CHECK(book.OnReport(other, fleet.now).sender_is_behind);
      CHECK(book.Find("booking")->state == RolloutState::kCompleted);
    }
  }
  WHEN("it is sound") {
    fleet.AddOutcomes(0);
    fleet.Exchange(kSecond);
    fleet.Exchange(40 * kSecond);
    CHECK(fleet.State(1) == RolloutState::kRunning);
    fleet.Exchange(4 * kSecond);
    CHECK(fleet.State(1) == RolloutState::kCompleted);
    CHECK(fleet.books.at(1).held().size() == 2);
    THEN("it is not called complete while a call is at an old instance") {
      fleet.books.at(2).Find("booking")->old_in_flight = 1;
      fleet.Exchange(2 * kSecond);
      CHECK(fleet.books.at(1).held().size() == 3);
      CHECK(fleet.Writers().empty());
      fleet.books.at(2).Find("booking")->old_in_flight = 0;
      fleet.Exchange(kSecond);
      CHECK(fleet.Writers().size() >= 1);
    }
    THEN("it is in time also if a call does not end") {
      fleet.books.at(2).Find("booking")->old_in_flight = 1;
      fleet.Exchange(9 * kSecond);
      CHECK(fleet.now < fleet.books.at(0).Find("booking")->deadline);
      CHECK(fleet.Writers().size() == 5);
    }
  }
  WHEN("the whole fleet is restarted in the middle") {
    fleet.now += 30 * kSecond;
    for (int i = 0; i < 5; ++i) {
      fleet.Restart(i);
      fleet.books.at(i).OnStored(
          MakeOrder(7, 501),
          RolloutStatus{RolloutState::kRunning, 30 * kSecond}, fleet.now);
    }
    fleet.Exchange(kSecond);
    THEN("its deadline holds, and without new evidence it is returned from") {
      CHECK(fleet.Writers().empty());
      fleet.Exchange(20 * kSecond);
      CHECK(fleet.State(0) == RolloutState::kRolledBack);
      CHECK(fleet.now < fleet.books.at(0).Find("booking")->deadline);
    }
  }
  WHEN("the sides of a partition see different things") {
    fleet.cut = {1, 2, 3, 4};
    fleet.AddOutcomes(50);
    fleet.Exchange(kSecond);
    fleet.cut.clear();
    fleet.Exchange(kSecond);
    fleet.Exchange(kSecond);
    THEN("bad wins when they meet") {
      CHECK(fleet.State(4) == RolloutState::kRolledBack);
    }
  }
  WHEN("a judge is cut off from the evidence for a sound version") {
    int judge = 1;
    while (fleet.books.at(judge).Find("booking")->rank >=
           RolloutBook::kJudges) {
      ++judge;
    }
    fleet.cut = {judge};
    fleet.AddOutcomes(0);
    fleet.Exchange(kSecond);
    fleet.Exchange(50 * kSecond);
    THEN("it does not return from it while the others move to it") {
      CHECK(fleet.State(0) == RolloutState::kCompleted);
      CHECK(fleet.State(judge) == RolloutState::kRunning);
      fleet.cut.clear();
      fleet.Exchange(kSecond);
      fleet.Exchange(kSecond);
      CHECK(fleet.State(0) == RolloutState::kCompleted);
      CHECK(fleet.State(judge) == RolloutState::kCompleted);
    }
    THEN("it returns from it in time, if nobody else decides") {
      fleet.Exchange(4 * kSecond);
      CHECK(fleet.State(judge) == RolloutState::kRolledBack);
    }
  }
  WHEN("the order is replaced") {
    RolloutOrder next = MakeOrder(8, 510);
    next.target_version = "v3";
    RolloutBook& book = fleet.books.at(0);
    book.OnStored(next, RolloutStatus{RolloutState::kRolledBack, Duration(0)},
                  fleet.now);
    THEN("the status of the one before does not count, its target is held") {
      CHECK(book.Find("booking")->state == RolloutState::kRunning);
      book.Update(fleet.directory, fleet.now);
      CHECK(book.held().size() == 2);
      RolloutReport old = fleet.books.at(1).Summary(
          *fleet.books.at(1).Find("booking"), fleet.now);
      CHECK(book.OnReport(old, fleet.now).sender_is_behind);
    }
  }
  WHEN("a bad version's order is removed after its deadline") {
    fleet.AddOutcomes(50);
    fleet.Exchange(kSecond);
    RolloutBook& book = fleet.books.at(0);
    fleet.now += 60 * kSecond;
    book.OnRemoved("booking", 1, 520, fleet.now);
    book.OnConfirmed(fleet.now);
    THEN("its instances get no calls while they are drained") {
      fleet.now += 20 * kSecond;
      book.Update(fleet.directory, fleet.now);
      CHECK(book.held().size() == 2);
    }
  }
  WHEN("a peer's report is malformed") {
    RolloutBook& book = fleet.books.at(0);
    RolloutReport report = book.Summary(*book.Find("booking"), fleet.now);
    const Time deadline = book.Find("booking")->deadline;
    report.state = RolloutState::kCompleted;
    report.remaining = Duration::min();
    book.OnReport(report, fleet.now);
    CHECK(book.Find("booking")->deadline == deadline);
    CHECK(fleet.State(0) == RolloutState::kRunning);
  }
  WHEN("the order is removed") {
    RolloutBook& book = fleet.books.at(0);
    CHECK(book.OnStoredAll({}, 1, 520, fleet.now).size() == 1);
    CHECK(book.Find("booking")->removed());
    CHECK_FALSE(book.StatusToWrite(*book.Find("booking"), fleet.now));
    THEN("the same order, if it comes back, keeps its deadline") {
      const Time deadline = fleet.books.at(1).Find("booking")->deadline;
      fleet.now += 10 * kSecond;
      RolloutOrder again = MakeOrder(7, 525);
      again.era = 2;
      book.OnStored(again, std::nullopt, fleet.now);
      CHECK(book.Find("booking")->deadline == deadline);
      CHECK(book.StatusToWrite(*book.Find("booking"), fleet.now + kSecond * 9));
    }
    THEN("peers hear of it") {
      RolloutBook& peer = fleet.books.at(1);
      peer.OnReport(book.Summary(*book.Find("booking"), fleet.now), fleet.now);
      CHECK(peer.Find("booking")->removed());
    }
  }
}

SCENARIO("operators see the roll-outs of a node") {
  const std::string_view metrics =
      "verbenastile_generation 7\n"
      "verbenastile_rollout_held_instances 2\n"
      "verbenastile_rollout_ordered{service=\"booking\"} 1\n"
      "verbenastile_rollout_state{service=\"booking\"} 2\n"
      "verbenastile_rollout_settled{service=\"booking\"} 0\n"
      "verbenastile_rollout_seconds_left{service=\"booking\"} 31.4\n"
      "verbenastile_rollout_exposed_calls{service=\"booking\"} 80\n"
      "verbenastile_rollout_answered_calls{service=\"booking\"} 1200\n"
      "verbenastile_rollout_ordered{service=\"video\"} 0\n";
  CHECK(RenderRollouts(metrics) ==
        "booking: rolled_back (not stored yet), 31 s until the deadline, this "
        "node exposed 80 of 1200 calls\n"
        "video: the order was removed\n");
  CHECK(RenderRollouts("verbenastile_generation 7\n") == "no roll-outs\n");
}

// A node whose links to some peers are dead may hear neither the store nor an
// announcement, but still talk to peers that do not know the order.
SCENARIO("a new version is held until those who read orders know of none") {
  BookFleet fleet;
  RolloutBook& book = fleet.books.at(1);
  book.OnInformed();
  fleet.directory.Remove("n-3");
  fleet.directory.Remove("n-4");
  book.Update(fleet.directory, fleet.now);
  const Time seen = fleet.now += 5 * kSecond;
  for (int i = 3; i < 5; ++i) {
    Member member;
    member.name = "n-" + std::to_string(i);
    member.service = "booking";
    member.software = "v2";
    fleet.directory.Put(member);
  }
  book.Update(fleet.directory, fleet.now);
  CHECK(book.held().size() == 2);
  REQUIRE(book.unconfirmed_since() == seen);
  WHEN("peers report that do not read orders") {
    fleet.now += 4 * kSecond;
    book.OnInformed();
    book.Update(fleet.directory, fleet.now);
    CHECK(book.held().size() == 2);
  }
  WHEN("one that reads them has not read since") {
    book.OnConfirmed(seen - kSecond);
    fleet.now += 4 * kSecond;
    book.Update(fleet.directory, fleet.now);
    CHECK(book.held().size() == 2);
  }
  WHEN("one has, and knows of none") {
    book.OnConfirmed(seen + 2 * kSecond);
    book.Update(fleet.directory, fleet.now);
    CHECK(book.held().size() == 2);
    CHECK_FALSE(book.unconfirmed_since());
    fleet.now += 4 * kSecond;
    book.Update(fleet.directory, fleet.now);
    CHECK(book.held().empty());
  }
  WHEN("one has, and knows the order") {
    book.OnReport(fleet.OrderOf(2), fleet.now);
    book.OnConfirmed(seen + 2 * kSecond);
    fleet.now += 20 * kSecond;
    book.Update(fleet.directory, fleet.now);
    CHECK(book.held().size() == 2);
  }
}

}  // namespace
}  // namespace verbenastile
