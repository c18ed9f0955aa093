// The command `verbenastile rules watch`: prints accepted generations, and how
// many nodes of each failure domain run them.
#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/blocking_platform.h"
#include "cli/rules_actions.h"
#include "core/fleet_view.h"
#include "core/rules_head.h"

namespace verbenastile {
namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds(250);

// The state of the fleet as read from the platform at one time.
struct FleetState {
  RulesHead head;
  FleetView fleet;
};

leaf::result<FleetState> ReadState(BlockingPlatform& platform) {
  FleetState state;
  BOOST_LEAF_AUTO(object, platform.Get(kHeadKind, kHeadName));
  BOOST_LEAF_ASSIGN(state.head, ParseHead(object.spec));
  BOOST_LEAF_AUTO(statuses, platform.List(kFleetStatusKind));
  for (const PlatformObject& status : statuses.items) {
    if (status.status.empty()) {
      continue;
    }
    BOOST_LEAF_AUTO(view, ParseDomainView(status.status));
    std::string name = view.failure_domain;
    state.fleet.domains.insert_or_assign(std::move(name), std::move(view));
  }
  return state;
}

// The nodes that run an older generation, or an empty string.
std::string DescribeLaggards(const DomainView& view) {
  std::string text;
  for (const Laggard& laggard : view.laggards) {
    text += fmt::format("{}{} ({})", text.empty() ? "" : ", ", laggard.name,
                        laggard.generation);
  }
  return text.empty() ? text : "; behind: " + text;
}

// Compares successive fleet states and prints the changes.
class FleetWatch {
 public:
  explicit FleetWatch(bool json) : json_(json) {}

  void Update(Time now, const FleetState& state) {
    PrintGenerations(now, state.head);
    for (const auto& [name, view] : state.fleet.domains) {
      DomainView& last = last_views_[name];
      if (last != view) {
        last = view;
        PrintDomain(view);
      }
    }
    CheckDone(now, state.fleet);
  }

  // Whether the newest generation is in force on all nodes.
  bool done() const { return done_; }

 private:
  void PrintGenerations(Time now, const RulesHead& head) {
    for (const AuditEntry& entry : head.audit) {
      if (entry.generation_after <= generation_) {
        continue;
      }
      if (json_) {
        fmt::print("{}\n", nlohmann::json{{"accepted", ToJson(entry)}}.dump());
      } else {
        fmt::print("generation {} is accepted: {} by {}@{} {}\n",
                   entry.generation_after, entry.operation, entry.who,
                   entry.from, entry.reason);
      }
    }
    if (head.generation > generation_) {
      generation_ = head.generation;
      accepted_at_ = now;
      done_ = false;
    }
  }

  void PrintDomain(const DomainView& view) const {
    if (json_) {
      fmt::print("{}\n",
                 nlohmann::json{{"failureDomain", ToJson(view)}}.dump());
      return;
    }
    fmt::print("  {:16} {} of {} nodes run generation {}{}\n",
               view.failure_domain, view.AtLeast(generation_), view.nodes,
               generation_, DescribeLaggards(view));
    if (view.refused_by > 0) {
      fmt::print("  {:16} {} nodes refuse generation {}: {}\n",
                 view.failure_domain, view.refused_by, view.refusal.generation,
                 view.refusal.reason);
    }
    if (view.other_history > 0) {
      fmt::print(
          "  {:16} {} nodes run another history than the platform holds\n",
          view.failure_domain, view.other_history);
    }
  }

  void CheckDone(Time now, const FleetView& fleet) {
    std::uint32_t nodes = 0;
    bool everywhere = !fleet.domains.empty();
    for (const auto& [name, view] : fleet.domains) {
      nodes += view.nodes;
      everywhere = everywhere && view.AtLeast(generation_) >= view.nodes;
    }
    if (done_ || !everywhere) {
      return;
    }
    done_ = true;
    const double seconds =
        static_cast<double>(ToMilliseconds(now - accepted_at_)) / 1'000.0;
    if (json_) {
      fmt::print("{}\n", nlohmann::json{{"inForce", generation_},
                                        {"nodes", nodes},
                                        {"seconds", seconds}}
                             .dump());
    } else {
      fmt::print(
          "generation {} is in force on all {} nodes, seen {:.1f} s after it "
          "was accepted\n",
          generation_, nodes, seconds);
    }
  }

  bool json_;
  Generation generation_ = 0;
  Time accepted_at_;
  bool done_ = false;
  std::map<std::string, DomainView> last_views_;
};

}  // namespace

int RunRulesWatch(CommandArgs args) {
  TCLAP::CmdLine cmd(
      "Shows how accepted generations come into force across the fleet.", ' ',
      VERBENASTILE_VERSION);
  PlatformArgs platform_args(cmd);
  OutputArg output(cmd);
  TCLAP::ValueArg<int> seconds("", "seconds", "how long to watch", false, 60,
                               "N", cmd);
  TCLAP::SwitchArg until_done(
      "", "until-done",
      "exit once the newest generation is in force on all nodes", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BlockingPlatform platform(platform_args.settings());
    FleetWatch watch(output.json());
    const Time end = SteadyNow() + std::chrono::seconds(seconds.getValue());
    while (SteadyNow() < end) {
      BOOST_LEAF_AUTO(state, ReadState(platform));
      watch.Update(SteadyNow(), state);
      std::fflush(stdout);
      if (until_done.getValue() && watch.done()) {
        return kExitOk;
      }
      std::this_thread::sleep_for(kWatchInterval);
    }
    return until_done.getValue() ? kExitFailed : kExitOk;
  });
}

}  // namespace verbenastile
