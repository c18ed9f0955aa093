// Topic "crash_suspects": requests that end each instance that runs them, among
// innocent ones, while instances end for other reasons, messages between nodes
// are late or lost, and nodes are restarted, one or all. What the platform
// promises is checked over all nodes.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include "core/crash_suspects.h"
#include "core/request_digest.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kNodes = 8;
constexpr std::size_t kGuiltyRequests = 3;
constexpr std::size_t kPopularRequests = 6;
constexpr std::size_t kMaxViolations = 5;
constexpr std::size_t kMaxResends = 3;  // After the third end.
constexpr std::string_view kService = "booking";
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kStep = 5 * kMs;
constexpr Duration kShortestRun = 30 * kMs;
constexpr Duration kRunSpread = 120 * kMs;
constexpr Duration kLongestTransit = 60 * kMs;
constexpr Duration kShortestOutage = 1'000 * kMs;
constexpr Duration kOutageSpread = 3'000 * kMs;
constexpr Duration kRestart = 500 * kMs;
// A node is bound this long after its last restart or lost message.
constexpr Duration kTouch = std::chrono::seconds(3);
constexpr std::uint64_t kGuiltyEvery = 12;
constexpr std::uint64_t kEventsEvery = 400;
constexpr std::uint64_t kLostEvery = 300;

class CrashSuspectsRun {
 public:
  explicit CrashSuspectsRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      Serve(i, true);
    }
  }

  SoakReport Run() {
    SoakReport report;
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      now_ += kStep;
      Deliver();
      EndRuns();
      Recover();
      Send(fmt::format("popular-{}", random_.Below(kPopularRequests)));
      if (random_.OneIn(kGuiltyEvery)) {
        Send(fmt::format("guilty-{}", random_.Below(kGuiltyRequests)));
      }
      if (random_.OneIn(kEventsEvery)) {
        Disturb();
      }
    }
    report.steps = options_.steps;
    report.digest = digest_.digest();
    report.violations = violations_;
    fmt::print("runs={} ends={} restarts={} trials={}\n", runs_total_, ends_,
               restarts_, trials_);
    return report;
  }

 private:
  struct Node {
    CrashSuspects suspects;
    bool up = true;       // The instance beside it accepts calls.
    Time up_at;           // When the instance is back.
    Time starts_at;       // The node is down until then.
    Time disturbed;       // Restarted, or a message to it was lost.
    bool greeted = true;  // It has exchanged evidence with peers since then.
    bool trying = false;  // Its instance runs a request that is on trial.
  };
  struct Running {
    std::size_t origin = 0;
    std::size_t node = 0;
    std::string name;
    bool on_trial = false;
    Time begin;
  };
  struct Message {
    std::size_t from = 0;  // As `to` if the store is the sender.
    std::size_t to = 0;
    std::vector<CrashEvidence> evidence;
  };

  static std::string NodeName(std::size_t index) {
    return fmt::format("node-{}", index);
  }
  static bool IsGuilty(std::string_view name) {
    return name.starts_with("guilty");
  }
  static Digest DigestOfRequest(const std::string& name) {
    return DigestOf({kService, "a.example", "GET", name, ""});
  }

  void Fail(std::string text) {
    if (violations_.size() < kMaxViolations) {
      violations_.push_back(fmt::format(
          "{} ms: {}", ToMilliseconds(now_.time_since_epoch()), text));
    }
  }

  void Serve(std::size_t index, bool serving) {
    nodes_[index].up = serving;
    Member member;
    member.name = NodeName(index);
    member.service = kService;
    member.serving = serving;
    directory_.Put(member);
  }

  void Send(const std::string& name) {
    const Digest digest = DigestOfRequest(name);
    const std::size_t origin_index = random_.Below(kNodes);
    const Node& origin = nodes_[origin_index];
    if (origin.starts_at > now_) {
      return;
    }
    const SuspectVerdict verdict = origin.suspects.Judge(digest);
    digest_.Add(static_cast<std::uint64_t>(verdict));
    if (verdict == SuspectVerdict::kBlocked) {
      CheckBlocked(name);
      return;
    }
    CheckCleared(origin, name, verdict);
    std::size_t target = random_.Below(kNodes);
    if (verdict == SuspectVerdict::kOnTrial) {
      const Member* member = TrialMember(directory_, kService, digest);
      if (member == nullptr) {
        return;
      }
      while (NodeName(target) != member->name) {
        target = (target + 1) % kNodes;
      }
    }
    Admit(origin_index, target, name, digest);
  }

  void Admit(std::size_t origin,
             std::size_t index,
             const std::string& name,
             const Digest& digest) {
    Node& node = nodes_[index];
    if (!node.up || node.starts_at > now_) {
      return;
    }
    const SuspectVerdict verdict = node.suspects.Judge(digest);
    const bool on_trial = verdict == SuspectVerdict::kOnTrial;
    const Member* member = TrialMember(directory_, kService, digest);
    if (verdict == SuspectVerdict::kBlocked ||
        (on_trial && (node.trying || member->name != NodeName(index)))) {
      return;
    }
    node.trying = node.trying || on_trial;
    trials_ += on_trial ? 1 : 0;
    ++runs_total_;
    if (IsGuilty(name)) {
      CheckResend(node, name);
    }
    const Time done = now_ + kShortestRun + random_.UpTo(kRunSpread);
    runs_.emplace(done, Running{origin, index, name, on_trial, now_});
  }

  void CheckResend(const Node& node, const std::string& name) {
    const std::vector<Time>& ends = ends_under_[name];
    if (ends.size() < 3 || now_ < ends[2] + kTouch ||
        now_ < node.disturbed + kTouch) {
      return;
    }
    if (++resends_[name] > kMaxResends) {
      Fail(fmt::format("{} ran {} times after three ends, of {} in all", name,
                       resends_[name], ends.size()));
    }
  }

  // An innocent request may only be blocked if its trial met another end.
  void CheckBlocked(const std::string& name) {
    if (!IsGuilty(name) && !unlucky_.contains(name)) {
      Fail(fmt::format("{} is blocked, and ends nothing", name));
    }
  }

  // A request that was run to its end after the last crash is on trial nowhere.
  void CheckCleared(const Node& origin,
                    const std::string& name,
                    SuspectVerdict verdict) {
    const auto completed = completed_.find(name);
    if (verdict == SuspectVerdict::kOnTrial && completed != completed_.end() &&
        now_ > std::max(completed->second, origin.disturbed) + kTouch) {
      Fail(fmt::format("{} is on trial, and completed", name));
    }
  }

  void EndRuns() {
    while (!runs_.empty() && runs_.begin()->first <= now_) {
      const Running run = runs_.begin()->second;
      if (IsGuilty(run.name)) {
        EndInstance(run.node);
        continue;
      }
      runs_.erase(runs_.begin());
      Node& node = nodes_[run.node];
      node.trying = node.trying && !run.on_trial;
      if (run.begin > ended_beside_[run.name] + 2 * kLongestTransit) {
        completed_.try_emplace(run.name, now_);
      }
      for (const std::size_t witness : {run.node, run.origin}) {
        Complete(witness, run);
      }
    }
  }

  void Complete(std::size_t witness, const Running& run) {
    Node& node = nodes_[witness];
    if (options_.mutation == "no_clearance" || node.starts_at > run.begin) {
      return;
    }
    if (const auto cleared =
            node.suspects.OnCompleted(DigestOfRequest(run.name), now_)) {
      Announce(witness, {*cleared});
    }
  }

  void EndInstance(std::size_t index) {
    Node& node = nodes_[index];
    std::vector<CrashedCall> running;
    bool has_guilty = false;
    for (auto it = runs_.begin(); it != runs_.end();) {
      if (it->second.node != index) {
        ++it;
        continue;
      }
      const Running& run = it->second;
      running.push_back({DigestOfRequest(run.name),
                         run.on_trial && options_.mutation != "no_conviction"});
      if (IsGuilty(run.name)) {
        ends_under_[run.name].push_back(now_);
        has_guilty = true;
      } else {
        ended_beside_[run.name] = now_;
        completed_.erase(run.name);
        if (run.on_trial) {
          unlucky_.insert(run.name);
        }
      }
      it = runs_.erase(it);
    }
    ++ends_;
    node.trying = false;
    Serve(index, false);
    node.up_at = now_ + kShortestOutage + random_.UpTo(kOutageSpread);
    if (node.starts_at > now_) {
      return;  // The node that could tell is down.
    }
    digest_.Add(running.size() * 2 + (has_guilty ? 1 : 0));
    auto evidence = node.suspects.OnCrash(
        {NodeName(index), random_.Below(1'000'000'000)}, running, now_);
    if (options_.mutation == "block_without_trial") {
      for (CrashEvidence& item : evidence) {
        item.convicted = true;
        node.suspects.Merge(item, now_);
      }
    }
    Announce(index, std::move(evidence));
  }

  void Announce(std::size_t from, std::vector<CrashEvidence> evidence) {
    WriteRecord(from);
    if (evidence.empty() || options_.mutation == "tell_nobody") {
      return;
    }
    for (std::size_t to = 0; to < kNodes; ++to) {
      if (to != from) {
        Post(from, to, evidence);
      }
    }
  }

  // A lost message breaks the link, and the next one brings what is shared.
  void Post(std::size_t from,
            std::size_t to,
            const std::vector<CrashEvidence>& evidence) {
    if (random_.OneIn(kLostEvery)) {
      nodes_[to].disturbed = now_;
      Introduce(to);
      return;
    }
    messages_.emplace(now_ + random_.UpTo(kLongestTransit),
                      Message{from, to, evidence});
  }

  // Links open in both directions, and each end shares what it knows.
  void Introduce(std::size_t index) {
    if (options_.mutation == "no_exchange") {
      return;
    }
    for (std::size_t peer = 0; peer < kNodes; ++peer) {
      if (peer != index && nodes_[peer].starts_at <= now_) {
        Share(peer, index);
        Share(index, peer);
      }
    }
  }

  void Share(std::size_t from, std::size_t to) {
    messages_.emplace(now_ + random_.UpTo(kLongestTransit),
                      Message{from, to, nodes_[from].suspects.Shared()});
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = messages_.begin()->second;
      messages_.erase(messages_.begin());
      Node& node = nodes_[message.to];
      if (node.starts_at > now_) {
        continue;
      }
      for (const CrashEvidence& evidence : message.evidence) {
        const MergeResult result = node.suspects.Merge(evidence, now_);
        if (result.sender_is_behind && message.from != message.to &&
            options_.mutation != "no_exchange") {
          Post(message.to, message.from,
               {*node.suspects.Known(evidence.request)});
        }
      }
      if (message.from == message.to) {
        Announce(message.to, node.suspects.SeenBy(NodeName(message.to)));
      }
      WriteRecord(message.to);
    }
  }

  void WriteRecord(std::size_t index) {
    store_[index] = nodes_[index].suspects.SeenBy(NodeName(index));
  }

  void Recover() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!nodes_[i].up && nodes_[i].up_at <= now_) {
        Serve(i, true);
      }
      if (nodes_[i].starts_at <= now_ &&
          !std::exchange(nodes_[i].greeted, true)) {
        Introduce(i);
      }
    }
  }

  void Disturb() {
    switch (random_.Below(8)) {
      case 0:
      case 1:
      case 2:
        Restart(random_.Below(kNodes), random_.OneIn(2));
        break;
      case 3:
        for (std::size_t i = 0; i < kNodes; ++i) {
          Restart(i, true);
        }
        break;
      case 4:
        // A failure domain loses power.
        for (std::size_t i = 0; i < kNodes / 2; ++i) {
          EndInstance(i);
        }
        break;
      default:
        EndInstance(random_.Below(kNodes));
    }
  }

  void Restart(std::size_t index, bool with_store) {
    ++restarts_;
    Node& node = nodes_[index];
    if (node.starts_at <= now_) {
      WriteRecord(index);
    }
    node.suspects = {};
    node.starts_at = node.disturbed = now_ + kRestart;
    node.trying = false;
    std::erase_if(runs_, [&](const auto& entry) {
      return entry.second.node == index && !IsGuilty(entry.second.name);
    });
    if (with_store) {
      for (const auto& [writer, evidence] : store_) {
        messages_.emplace(node.starts_at, Message{index, index, evidence});
      }
    }
    node.greeted = false;
  }

  SoakOptions options_;
  SoakRandom random_;
  RunDigest digest_;
  Time now_;
  std::array<Node, kNodes> nodes_;
  MemberDirectory directory_;
  std::multimap<Time, Running> runs_;  // By their end.
  std::multimap<Time, Message> messages_;
  std::map<std::size_t, std::vector<CrashEvidence>> store_;
  std::map<std::string, std::vector<Time>> ends_under_;
  std::map<std::string, std::size_t> resends_;
  std::map<std::string, Time> ended_beside_;
  // Since when they have completed after the last end beside them.
  std::map<std::string, Time> completed_;
  std::set<std::string> unlucky_;  // Innocent, and on trial at an end.
  std::vector<std::string> violations_;
  std::uint64_t runs_total_ = 0;
  std::uint64_t ends_ = 0;
  std::uint64_t restarts_ = 0;
  std::uint64_t trials_ = 0;
};

SoakReport RunCrashSuspects(const SoakOptions& options) {
  return CrashSuspectsRun(options).Run();
}

}  // namespace

SoakTopic CrashSuspectsTopic() {
  return {"crash_suspects",
          RunCrashSuspects,
          {"tell_nobody", "no_exchange", "no_conviction", "no_clearance",
           "block_without_trial"}};
}

}  // namespace verbenastile
