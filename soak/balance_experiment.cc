#include "balance_experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/balancer.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kInstances = 12;
constexpr std::size_t kDomains = 3;
constexpr std::uint32_t kSlots = 6;
constexpr std::int64_t kShortestUs = 5'000;
constexpr std::int64_t kLongestUs = 35'000;
constexpr std::int64_t kSlowFactor = 5;
constexpr std::int64_t kLoadPercent = 70;
constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kSecondUs = 1'000'000;
constexpr Duration kNear = std::chrono::microseconds(100);
constexpr Duration kFar = std::chrono::microseconds(1'200);
constexpr Duration kQuickFailure = std::chrono::milliseconds(1);
constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kStart = std::chrono::seconds(20);  // All are warm.
constexpr Duration kEnd = std::chrono::seconds(80);
constexpr const char* kService = "booking";

enum class Policy : std::uint8_t { kBalancer, kRandom, kRoundRobin };
enum class Fault : std::uint8_t {
  kNone,
  kSlow,
  kFailsQuickly,
  kLiesFree,
  kOneSided
};

const char* NameOf(Policy policy) {
  constexpr const char* kNames[] = {"balancer", "random", "round robin"};
  return kNames[static_cast<std::size_t>(policy)];
}

const char* NameOf(Fault fault) {
  constexpr const char* kNames[] = {
      "all sound", "one is 5 times slower", "one fails at once",
      "slow one says it is free", "callers in one domain"};
  return kNames[static_cast<std::size_t>(fault)];
}

// Twelve instances that call each other; the first one has the fault.
class Balance {
 public:
  Balance(std::uint64_t seed, Policy policy, Fault fault)
      : random_(seed), policy_random_(seed), policy_(policy), fault_(fault) {
    chart_ = leaf::try_handle_all(
        [] { return LoadEmbeddedChart("upstream_health"); },
        [] { return StateChart{}; });
    MemberDirectory directory;
    for (std::size_t i = 0; i < kInstances; ++i) {
      directory.Put(MemberAt(i));
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      Balancer::Init init{&chart_, MemberAt(i).failure_domain, "north", {}};
      nodes_.push_back({std::make_unique<Balancer>(init), i,
                        std::make_unique<Admission>(kSlots)});
      nodes_[i].balancer->Sync(directory, now_);
    }
  }

  void Run() {
    Schedule(Kind::kCall, 0, kStart);
    while (now_ < Time(kEnd)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      Handle(event);
    }
  }

  void Print() {
    std::sort(latencies_us_.begin(), latencies_us_.end());
    const auto at = [&](std::size_t percent) {
      return latencies_us_[(latencies_us_.size() - 1) * percent / kPercent];
    };
    fmt::print(
        "{:26} {:12} answered={:.2f}% p50_us={} p99_us={}\n", NameOf(fault_),
        NameOf(policy_),
        static_cast<double>(answered_ * kPercent) / static_cast<double>(calls_),
        at(50), at(99));
  }

 private:
  enum class Kind : std::uint8_t { kCall, kArrive, kRunEnd, kAnswer };

  struct Event {
    Kind kind = Kind::kCall;
    std::uint64_t key = 0;
    Time when;
    std::uint64_t order = 0;
    bool operator>(const Event& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  struct Node {
    std::unique_ptr<Balancer> balancer;
    std::size_t turn = 0;
    std::unique_ptr<Admission> admission;
  };

  struct Call {
    std::size_t from = 0;
    std::size_t to = 0;
    UpstreamHandle handle;
    Time begin;
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
    UpstreamLoad load;
  };

  static Member MemberAt(std::size_t index) {
    Member member;
    // Two digits, so that names have the order of the numbers.
    member.name = fmt::format("instance-{:02}", index);
    member.failure_domain = fmt::format("domain-{}", index % kDomains);
    member.region = "north";
    member.service = kService;
    member.slots = kSlots;
    return member;
  }

  void Schedule(Kind kind, std::uint64_t key, Duration after) {
    events_.push({kind, key, now_ + after, ++next_order_});
  }

  Duration Between(std::int64_t low_us, std::int64_t high_us) {
    const auto spread = static_cast<std::uint64_t>(high_us - low_us + 1);
    return Duration(low_us + static_cast<std::int64_t>(random_.Below(spread)));
  }

  static Duration Way(const Call& call) {
    return call.from % kDomains == call.to % kDomains ? kNear : kFar;
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kCall:
        return OnCall();
      case Kind::kArrive:
        return OnArrive(event.key);
      case Kind::kRunEnd: {
        Call& call = calls_by_key_.at(event.key);
        Reply(event.key, AttemptOutcome::kAnswered);
        return Apply(nodes_[call.to].admission->OnEnded(event.key, now_));
      }
      case Kind::kAnswer:
        return OnAnswer(event.key);
    }
  }

  void OnCall() {
    constexpr std::int64_t kMeanGapUs = (kShortestUs + kLongestUs) / 2 *
                                        kPercent / kLoadPercent / kSlots /
                                        static_cast<std::int64_t>(kInstances);
    Schedule(Kind::kCall, 0, Between(0, 2 * kMeanGapUs));
    const std::uint64_t key = ++next_key_;
    Call call;
    call.from = random_.Below(kInstances);
    if (fault_ == Fault::kOneSided) {
      call.from -= call.from % kDomains;
    }
    call.begin = now_;
    Choose(call);
    calls_by_key_[key] = call;
    ++calls_;
    Schedule(Kind::kArrive, key, Way(call));
  }

  void Choose(Call& call) {
    Node& node = nodes_[call.from];
    if (policy_ == Policy::kBalancer) {
      call.handle =
          node.balancer->Choose({kService, {}, true}, now_, policy_random_);
      call.to = IndexOf(node.balancer->Find(call.handle)->name);
      node.balancer->OnStarted(call.handle, now_);
    } else if (policy_ == Policy::kRandom) {
      call.to = policy_random_() % kInstances;
    } else {
      call.to = node.turn++ % kInstances;
    }
  }

  static std::size_t IndexOf(std::string_view name) {
    std::size_t index = 0;
    while (MemberAt(index).name != name) {
      ++index;
    }
    return index;
  }

  void OnArrive(std::uint64_t key) {
    const Call& call = calls_by_key_.at(key);
    if (fault_ == Fault::kFailsQuickly && call.to == 0) {
      Reply(key, AttemptOutcome::kFailed);
      return;
    }
    const AdmissionResult result = nodes_[call.to].admission->Offer(
        {key, "all", 1, Priority::kNormal, now_ + kDeadline}, now_);
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      Begin(key);
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      Reply(key, AttemptOutcome::kRefused);
    }
    Apply(result.actions);
  }

  void Begin(std::uint64_t key) {
    const bool slow = calls_by_key_.at(key).to == 0 &&
                      (fault_ == Fault::kSlow || fault_ == Fault::kLiesFree);
    const Duration time = Between(kShortestUs, kLongestUs);
    Schedule(Kind::kRunEnd, key, slow ? time * kSlowFactor : time);
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        Begin(start->id);
      } else {
        Reply(std::get<RefuseCall>(action).id, AttemptOutcome::kRefused);
      }
    }
  }

  void Reply(std::uint64_t key, AttemptOutcome outcome) {
    Call& call = calls_by_key_.at(key);
    call.outcome = outcome;
    const Admission& admission = *nodes_[call.to].admission;
    const bool lies = fault_ == Fault::kLiesFree && call.to == 0;
    if (!lies) {
      call.load = {admission.busy(),
                   static_cast<std::uint32_t>(admission.queued())};
    }
    const Duration work =
        outcome == AttemptOutcome::kFailed ? kQuickFailure : Duration(0);
    Schedule(Kind::kAnswer, key, Way(call) + work);
  }

  void OnAnswer(std::uint64_t key) {
    const Call& call = calls_by_key_.at(key);
    Balancer& balancer = *nodes_[call.from].balancer;
    const Duration latency = now_ - call.begin;
    if (policy_ == Policy::kBalancer) {
      balancer.OnLoadReport(call.handle, call.load, now_);
      balancer.OnEnded(call.handle, call.outcome, latency, now_);
    }
    const bool answered = call.outcome == AttemptOutcome::kAnswered;
    answered_ += answered ? 1 : 0;
    if (answered) {
      latencies_us_.push_back(latency.count());
    }
    calls_by_key_.erase(key);
  }

  SoakRandom random_;
  std::mt19937_64 policy_random_;
  Policy policy_;
  Fault fault_;
  StateChart chart_;
  std::vector<Node> nodes_;
  Time now_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_key_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<std::uint64_t, Call> calls_by_key_;
  std::int64_t calls_ = 0;
  std::int64_t answered_ = 0;
  std::vector<std::int64_t> latencies_us_;
};

}  // namespace

void PrintBalanceExperiment(std::uint64_t seed) {
  fmt::print("choice of {} instances at {}% load, {} calls/s\n", kInstances,
             kLoadPercent,
             2 * kSecondUs * static_cast<std::int64_t>(kSlots * kInstances) *
                 kLoadPercent / kPercent / (kShortestUs + kLongestUs));
  for (const Fault fault : {Fault::kNone, Fault::kSlow, Fault::kLiesFree,
                            Fault::kFailsQuickly, Fault::kOneSided}) {
    for (const Policy policy :
         {Policy::kBalancer, Policy::kRandom, Policy::kRoundRobin}) {
      Balance balance(seed, policy, fault);
      balance.Run();
      balance.Print();
    }
  }
}

}  // namespace verbenastile
