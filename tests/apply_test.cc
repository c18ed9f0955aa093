#include <catch2/catch.hpp>

#include "core/config_apply.h"
#include "core/rules_head.h"
#include "support.h"

#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

RuleDocument MakeDocument(const std::string& service, int rules) {
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

std::shared_ptr<const Snapshot> MakeSharedSnapshot(
    Generation generation,
    const RuleDocument& document) {
  return std::make_shared<const Snapshot>(MakeSnapshot(generation, document));
}

SCENARIO("configuration generations are applied in order") {
  const StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("config_apply"); });
  ConfigApplier applier(&chart);
  const RuleDocument valid = MakeDocument("booking", 2);
  REQUIRE(applier.Offer(MakeSharedSnapshot(5, valid)) ==
          ApplyOutcome::kInForce);

  WHEN("an older generation arrives") {
    CHECK(applier.Offer(MakeSharedSnapshot(4, valid)) == ApplyOutcome::kOlder);
    CHECK(applier.generation() == 5);
  }
  WHEN("the current generation arrives again") {
    CHECK(applier.Offer(MakeSharedSnapshot(5, valid)) ==
          ApplyOutcome::kUnchanged);
  }
  WHEN("the current generation arrives with different content") {
    CHECK(applier.Offer(MakeSharedSnapshot(5, MakeDocument("booking", 3))) ==
          ApplyOutcome::kForked);
    CHECK(applier.table()->document().rules.size() == 2);
  }
  WHEN("a newer generation routes to an undeclared service") {
    CHECK(applier.Offer(MakeSharedSnapshot(6, MakeDocument("nowhere", 1))) ==
          ApplyOutcome::kRefused);
    THEN("the current generation is kept and the refusal is reported") {
      CHECK(applier.generation() == 5);
      CHECK(applier.refusal().generation == 6);
      CHECK(applier.refusal().reason.find("not declared") != std::string::npos);
    }
    THEN("the next valid generation is applied") {
      CHECK(applier.Offer(MakeSharedSnapshot(7, valid)) ==
            ApplyOutcome::kInForce);
      CHECK(applier.refusal().generation == 0);
    }
  }
}

SCENARIO("a generation is stored at the platform in chunks") {
  const Snapshot snapshot = MakeSnapshot(9, MakeDocument("booking", 500));
  const auto chunks = CutIntoChunks(snapshot.items);
  RulesHead head;
  head.generation = 9;
  head.digest = snapshot.digest;

  GIVEN("all chunks as written") {
    std::vector<RulesChunk> stored;
    stored.reserve(chunks.size());
    for (const RulesChunk& chunk : chunks) {
      stored.push_back(
          MustSucceed([&] { return ParseChunk(chunk.name, ToJson(chunk)); }));
    }
    THEN("they are assembled into the same generation") {
      const Snapshot assembled =
          MustSucceed([&] { return AssembleSnapshot(head, stored); });
      CHECK(assembled.digest == snapshot.digest);
    }
    THEN("a missing chunk is detected") {
      stored.pop_back();
      CHECK(ErrorTextOf([&] { return AssembleSnapshot(head, stored); }) != "");
    }
  }
  GIVEN("one changed rule") {
    RuleDocument changed = MakeDocument("booking", 500);
    changed.rules[250].match.method = "PUT";
    const auto new_chunks = CutIntoChunks(MakeSnapshot(10, changed).items);
    int written = 0;
    for (const RulesChunk& chunk : new_chunks) {
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
  GIVEN("a chunk under the name of another chunk") {
    CHECK(ErrorTextOf([&] { return ParseChunk("0123", ToJson(chunks[0])); }) !=
          "");
  }
}

}  // namespace
}  // namespace verbenastile
