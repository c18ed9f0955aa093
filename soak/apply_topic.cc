// Topic "apply": generations that cross, come twice, come late, are damaged
// or come from a restored backup, offered to the real applier.
#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <memory>

#include "core/config_apply.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kNodes = 8;
constexpr std::size_t kMaxKept = 32;

RuleDocument DocumentOf(std::uint64_t number, bool damaged) {
  RuleDocument document;
  document.services.push_back({"booking", {}, {}});
  Rule rule;
  rule.id = fmt::format("rule-{}", number);
  RouteAction route;
  route.targets.push_back({damaged ? "nowhere" : "booking", 1});
  rule.action = route;
  document.rules.push_back(rule);
  return document;
}

class ApplyRun {
 public:
  explicit ApplyRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {}

  SoakReport Run() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<SoakReport> {
          BOOST_LEAF_ASSIGN(chart_, LoadEmbeddedChart("config_apply"));
          return RunSteps();
        },
        [&] {
          SoakReport report;
          report.violations = {"the chart cannot be loaded"};
          return report;
        });
  }

 private:
  struct FakeNode {
    std::unique_ptr<ConfigApplier> applier;
    Generation highest = 0;
  };

  SoakReport RunSteps() {
    for (FakeNode& node : nodes_) {
      node.applier = std::make_unique<ConfigApplier>(&chart_);
    }
    Accept();
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      Step();
    }
    report_.steps = options_.steps;
    report_.digest = digest_.digest();
    return report_;
  }

  void Step() {
    if (random_.OneIn(64)) {
      Accept();
      return;
    }
    FakeNode& node = nodes_[random_.Below(kNodes)];
    if (random_.OneIn(512)) {
      node.applier = std::make_unique<ConfigApplier>(&chart_);
      node.highest = 0;
      return;
    }
    Offer(node, accepted_[random_.Below(accepted_.size())]);
  }

  // The platform accepts one more generation, sometimes a bad one; now and
  // then it has lost the newest ones and counts on from an old backup.
  void Accept() {
    if (random_.OneIn(100) && accepted_.size() > 1) {
      next_ = accepted_[accepted_.size() / 2]->generation;
    }
    ++next_;
    ++content_;
    accepted_.push_back(std::make_shared<const Snapshot>(
        MakeSnapshot(next_, DocumentOf(content_, random_.OneIn(8)))));
    if (accepted_.size() > kMaxKept) {
      accepted_.pop_front();
    }
  }

  void Offer(FakeNode& node, const std::shared_ptr<const Snapshot>& offered) {
    if (options_.mutation == "accept_older") {
      node.applier = std::make_unique<ConfigApplier>(&chart_);
    }
    const auto before = node.applier->snapshot();
    const ApplyOutcome outcome = node.applier->Offer(offered);
    Check(node, outcome, before, *offered);
    node.highest = std::max(node.highest, node.applier->generation());
    digest_.Add(node.applier->generation());
    digest_.Add(static_cast<std::uint64_t>(outcome));
  }

  void Check(const FakeNode& node,
             ApplyOutcome outcome,
             const std::shared_ptr<const Snapshot>& before,
             const Snapshot& offered) {
    const ConfigApplier& applier = *node.applier;
    Require(applier.generation() >= node.highest, "generation_never_falls");
    const bool changed = applier.snapshot() != before;
    Require(changed == (outcome == ApplyOutcome::kInForce), "swapped_whole");
    if (changed) {
      Require(applier.table()->generation() == offered.generation,
              "table_of_the_snapshot");
    }
    if (applier.table()) {
      for (const Rule& rule : applier.table()->document().rules) {
        const auto& route = std::get<RouteAction>(rule.action);
        Require(applier.table()->HasService(route.targets[0].service),
                "no_route_without_its_resource");
      }
    }
  }

  void Require(bool holds, const char* name) {
    if (!holds) {
      report_.violations.emplace_back(name);
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  StateChart chart_;
  FakeNode nodes_[kNodes];
  std::deque<std::shared_ptr<const Snapshot>> accepted_;
  Generation next_ = 0;
  std::uint64_t content_ = 0;
  RunDigest digest_;
  SoakReport report_;
};

SoakReport RunApply(const SoakOptions& options) {
  return ApplyRun(options).Run();
}

}  // namespace

SoakTopic ApplyTopic() {
  return {"apply", RunApply, {"accept_older"}};
}

}  // namespace verbenastile
