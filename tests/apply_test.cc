#include <catch2/catch.hpp>

#include "core/config_apply.h"
#include "core/rules_head.h"
#include "support.h"

#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

RuleDocument DocumentTo(const std::string& service, int rules) {
  RuleDocument document;
  document.services.push_back({"booking", {}, {}});
  for (int i = 0; i < rules; ++i) {
    Rule rule;
    rule.id = "rule-" + std::to_string(i);
    RouteAction route;
    route.targets.push_back({service, 1});
    rule.action = route;
    document.rules.push_back(rule);
  }
  return document;
}

std::shared_ptr<const Snapshot> Make(Generation generation,
                                     const RuleDocument& document) {
  return std::make_shared<const Snapshot>(MakeSnapshot(generation, document));
}

SCENARIO("generations come into force") {
  const StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("config_apply"); });
  ConfigApplier applier(&chart);
  const RuleDocument good = DocumentTo("booking", 2);
  REQUIRE(applier.Offer(Make(5, good)) == ApplyOutcome::kInForce);

  WHEN("an older generation comes late") {
    CHECK(applier.Offer(Make(4, good)) == ApplyOutcome::kOlder);
    CHECK(applier.generation() == 5);
  }
  WHEN("the same generation comes twice") {
    CHECK(applier.Offer(Make(5, good)) == ApplyOutcome::kUnchanged);
  }
  WHEN("the same generation comes with other content") {
    CHECK(applier.Offer(Make(5, DocumentTo("booking", 3))) ==
          ApplyOutcome::kForked);
    CHECK(applier.table()->document().rules.size() == 2);
  }
  WHEN("a newer generation routes to what is not there") {
    CHECK(applier.Offer(Make(6, DocumentTo("nowhere", 1))) ==
          ApplyOutcome::kRefused);
    THEN("the one in force stays whole and the refusal can be read") {
      CHECK(applier.generation() == 5);
      CHECK(applier.refusal().generation == 6);
      CHECK(applier.refusal().reason.find("not declared") != std::string::npos);
    }
    THEN("the next good one is taken") {
      CHECK(applier.Offer(Make(7, good)) == ApplyOutcome::kInForce);
      CHECK(applier.refusal().generation == 0);
    }
  }
}

SCENARIO("a generation lies at the platform in chunks") {
  const Snapshot snapshot = MakeSnapshot(9, DocumentTo("booking", 500));
  const auto chunks = CutIntoChunks(snapshot.items);
  RulesHead head;
  head.generation = 9;
  head.digest = snapshot.digest;

  GIVEN("its chunks as they were written") {
    std::vector<RulesChunk> read;
    read.reserve(chunks.size());
    for (const RulesChunk& chunk : chunks) {
      read.push_back(
          MustSucceed([&] { return ParseChunk(chunk.name, ToJson(chunk)); }));
    }
    THEN("they give the generation back") {
      const Snapshot back =
          MustSucceed([&] { return AssembleSnapshot(head, read); });
      CHECK(back.digest == snapshot.digest);
    }
    THEN("a missing chunk is noticed") {
      read.pop_back();
      CHECK(ErrorTextOf([&] { return AssembleSnapshot(head, read); }) != "");
    }
  }
  GIVEN("one rule changed among them") {
    RuleDocument changed = DocumentTo("booking", 500);
    changed.rules[250].match.method = "PUT";
    const auto fresh = CutIntoChunks(MakeSnapshot(10, changed).items);
    int written = 0;
    for (const RulesChunk& chunk : fresh) {
      const bool known = std::any_of(
          chunks.begin(), chunks.end(),
          [&](const RulesChunk& c) { return c.name == chunk.name; });
      written += known ? 0 : 1;
    }
    THEN("at most two chunks are new") {
      CHECK(chunks.size() > 4);
      CHECK(written <= 2);
    }
  }
  GIVEN("a chunk under a name that is not its own") {
    CHECK(ErrorTextOf([&] { return ParseChunk("0123", ToJson(chunks[0])); }) !=
          "");
  }
}

}  // namespace
}  // namespace verbenastile
