#include "overload_experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/retry_policy.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::uint32_t kSlots = 10;
constexpr std::int64_t kSecondUs = 1'000'000;
constexpr Duration kCallDeadline = std::chrono::seconds(1);
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(250);
constexpr Duration kRun = std::chrono::seconds(60);
constexpr std::uint32_t kRetries = 3;
constexpr std::size_t kNoLimit = 1'000'000'000;
constexpr std::int64_t kPercent = 100;

// How long an upstream works on a call: evenly between the bounds.
struct ServiceTimes {
  std::int64_t shortest_us = 5'000;
  std::int64_t longest_us = 35'000;

  constexpr std::int64_t capacity_per_second() const {
    return std::int64_t{2} * kSlots * kSecondUs / (shortest_us + longest_us);
  }
};

constexpr ServiceTimes kNarrow = {};
constexpr ServiceTimes kWide = {1'000, 199'000};

struct Load {
  std::string group;
  std::uint32_t weight = 1;
  std::int64_t calls_per_second = 0;
};

struct Policy {
  std::string name;
  AdmissionLimits admission;
  // Off: the upstream runs what its caller has given up, and is not told.
  bool deadlines = true;
  std::uint32_t retries = 0;
  RetryLimits retry;
};

struct GroupResult {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;  // Within the deadline of the call.
  std::uint64_t attempts = 0;
  std::int64_t slot_time_us = 0;
  std::vector<std::int64_t> latencies_us;

  // Of all calls; one without an answer counts as its deadline.
  std::int64_t Quantile(std::int64_t percent) {
    latencies_us.resize(calls, kCallDeadline.count());
    if (latencies_us.empty()) {
      return 0;
    }
    std::sort(latencies_us.begin(), latencies_us.end());
    const auto last = static_cast<std::int64_t>(latencies_us.size()) - 1;
    return latencies_us[static_cast<std::size_t>(last * percent / kPercent)];
  }
};

// One upstream, callers that time out and retry, no other faults.
class Overload {
 public:
  Overload(std::uint64_t seed,
           ServiceTimes times,
           Policy policy,
           std::vector<Load> loads)
      : times_(times),
        random_(seed),
        policy_random_(seed),
        policy_(std::move(policy)),
        loads_(std::move(loads)),
        results_(loads_.size()),
        admission_(kSlots, policy_.admission),
        retries_(policy_.retry) {}

  std::vector<GroupResult> Run() {
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      Schedule(Kind::kCall, i, Duration(0));
    }
    Schedule(Kind::kTick, 0, Admission::kTickInterval);
    while (now_ < Time(kRun)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      Handle(event);
    }
    return std::move(results_);
  }

 private:
  enum class Kind : std::uint8_t { kCall, kAttempt, kRunEnd, kTimeout, kTick };

  struct Event {
    Kind kind = Kind::kCall;
    std::uint64_t key = 0;  // A group, a call or an attempt.
    Time when;
    std::uint64_t order = 0;
    bool operator>(const Event& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  struct Call {
    std::size_t group = 0;
    Time begin;
    AttemptBudget attempts{0, std::nullopt};
    std::uint32_t attempts_made = 0;
    std::uint64_t attempt = 0;  // The one that is waited for.
    bool ended = false;
  };

  struct Attempt {
    std::uint64_t call = 0;
    Duration service_time{0};
    bool runs = false;
    Time begin;
  };

  void Schedule(Kind kind, std::uint64_t key, Duration after) {
    events_.push({kind, key, now_ + after, ++next_order_});
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kCall:
        return OnCall(event.key);
      case Kind::kAttempt:
        return Send(event.key);
      case Kind::kRunEnd:
        return OnRunEnd(event.key);
      case Kind::kTimeout:
        return OnTimeout(event.key);
      case Kind::kTick:
        Schedule(Kind::kTick, 0, Admission::kTickInterval);
        return Apply(admission_.Tick(now_));
    }
  }

  void OnCall(std::size_t group) {
    const std::int64_t mean = kSecondUs / loads_[group].calls_per_second;
    const auto spread = static_cast<std::uint64_t>(2 * mean + 1);
    Schedule(Kind::kCall, group,
             Duration(static_cast<std::int64_t>(random_.Below(spread))));
    const std::uint64_t key = ++next_key_;
    Call call;
    call.group = group;
    call.begin = now_;
    call.attempts = AttemptBudget(policy_.retries, std::nullopt);
    calls_.emplace(key, call);
    ++results_[group].calls;
    retries_.OnCall("upstream");
    Send(key);
  }

  void Send(std::uint64_t call_key) {
    Call& call = calls_.at(call_key);
    ++call.attempts_made;
    ++results_[call.group].attempts;
    const std::uint64_t key = ++next_key_;
    call.attempt = key;
    const auto spread =
        static_cast<std::uint64_t>(times_.longest_us - times_.shortest_us + 1);
    const auto extra = static_cast<std::int64_t>(random_.Below(spread));
    Attempt& attempt = attempts_[key];
    attempt.call = call_key;
    attempt.service_time = Duration(times_.shortest_us + extra);
    const Time give_up =
        std::min(now_ + kAttemptTimeout, call.begin + kCallDeadline);
    Schedule(Kind::kTimeout, key, give_up - now_);
    AdmissionOffer offer;
    offer.id = key;
    offer.group = loads_[call.group].group;
    offer.weight = loads_[call.group].weight;
    offer.deadline = policy_.deadlines ? give_up : Time(2 * kRun);
    const AdmissionResult result = admission_.Offer(offer, now_);
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      Begin(key);
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      OnRefused(key);
    }
    Apply(result.actions);
  }

  void Begin(std::uint64_t key) {
    Attempt& attempt = attempts_.at(key);
    attempt.runs = true;
    attempt.begin = now_;
    Schedule(Kind::kRunEnd, key, attempt.service_time);
  }

  // The upstream is done with the attempt, or was told to stop.
  void Release(std::uint64_t key) {
    Attempt& attempt = attempts_.at(key);
    attempt.runs = false;
    const std::size_t group = calls_.at(attempt.call).group;
    results_[group].slot_time_us += (now_ - attempt.begin).count();
    Apply(admission_.OnEnded(key, now_));
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        Begin(start->id);
      } else {
        OnRefused(std::get<RefuseCall>(action).id);
      }
    }
  }

  void OnRunEnd(std::uint64_t key) {
    if (!attempts_.at(key).runs) {
      return;
    }
    Release(key);
    Call& call = calls_.at(attempts_.at(key).call);
    const bool waited_for = !call.ended && call.attempt == key;
    if (!waited_for) {
      return;
    }
    call.ended = true;
    GroupResult& result = results_[call.group];
    ++result.answered;
    result.latencies_us.push_back((now_ - call.begin).count());
  }

  void OnRefused(std::uint64_t key) { Fail(key, AttemptOutcome::kRefused); }

  // A caller that gives up cancels, up to the upstream.
  void OnTimeout(std::uint64_t key) {
    if (policy_.deadlines &&
        admission_.OnCancelled(key, now_) == CancelVerdict::kRunning) {
      Release(key);
    }
    Fail(key, AttemptOutcome::kUnknown);
  }

  void Fail(std::uint64_t key, AttemptOutcome outcome) {
    const std::uint64_t call_key = attempts_.at(key).call;
    Call& call = calls_.at(call_key);
    if (call.ended || call.attempt != key) {
      return;
    }
    call.attempt = 0;
    RetryQuery question;
    question.service = "upstream";
    question.outcome = outcome;
    question.repeatable = true;
    question.attempts_made = call.attempts_made;
    question.deadline = call.begin + kCallDeadline;
    const RetryDecision decision =
        retries_.Decide(question, call.attempts, now_, policy_random_);
    if (decision.verdict == RetryVerdict::kRetry) {
      Schedule(Kind::kAttempt, call_key, decision.wait);
    } else {
      call.ended = true;
    }
  }

  ServiceTimes times_;
  SoakRandom random_;
  std::mt19937_64 policy_random_;
  Policy policy_;
  std::vector<Load> loads_;
  std::vector<GroupResult> results_;
  Admission admission_;
  RetryPolicy retries_;
  Time now_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_key_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
};

Policy Ours() {
  Policy policy;
  policy.name = "fair, early refusal, retry budget";
  policy.retries = kRetries;
  return policy;
}

Policy Unbudgeted(Policy policy, std::string name) {
  policy.name = std::move(name);
  policy.retries = kRetries;
  policy.retry.retry_ratio_permille = kRetries * 1'000;
  policy.retry.burst = 1'000'000;
  return policy;
}

Policy PlainFifo() {
  Policy policy;
  policy.name = "one FIFO, no limits, no retries";
  policy.admission.fair = false;
  policy.admission.refuse_early = false;
  policy.admission.max_queued = kNoLimit;
  policy.admission.max_queued_per_group = kNoLimit;
  policy.deadlines = false;
  return policy;
}

Policy BoundedFifo() {
  Policy policy;
  policy.name = "one FIFO, bounded, early refusal";
  policy.admission.fair = false;
  return policy;
}

constexpr std::int64_t kCapacityPerSecond = kNarrow.capacity_per_second();

void PrintFlood(std::uint64_t seed) {
  const std::int64_t share = kCapacityPerSecond / 2;
  const Load modest = {"modest", 1, share / 2};
  const Load flood = {"flood", 1, share * 100};
  fmt::print("a group at half its share beside one at 100 times its share\n");
  Policy no_retries = Ours();
  no_retries.retries = 0;
  const auto alone = Overload(seed, kNarrow, no_retries, {modest}).Run();
  GroupResult base = alone[0];
  const std::int64_t base_p99 = std::max<std::int64_t>(base.Quantile(99), 1);
  fmt::print("{:36} answered={:3}% p50_us={} p99_us={}\n", "alone",
             base.answered * kPercent / base.calls, base.Quantile(50),
             base_p99);
  for (Policy policy : {no_retries, BoundedFifo(), PlainFifo()}) {
    auto results = Overload(seed, kNarrow, policy, {modest, flood}).Run();
    GroupResult& result = results[0];
    const std::int64_t p99 = result.Quantile(99);
    fmt::print("{:36} answered={:3}% p50_us={} p99_us={} factor={}.{:02}\n",
               policy.name, result.answered * kPercent / result.calls,
               result.Quantile(50), p99, p99 / base_p99,
               p99 * kPercent / base_p99 % kPercent);
  }
}

void PrintGoodput(std::uint64_t seed, ServiceTimes times) {
  const std::int64_t capacity = times.capacity_per_second();
  fmt::print("goodput in percent of capacity ({} calls/s of {} to {} us)\n",
             capacity, times.shortest_us, times.longest_us);
  const Policy policies[] = {
      Ours(), Unbudgeted(Ours(), "fair, early refusal, any retries"),
      PlainFifo(), Unbudgeted(PlainFifo(), "one FIFO, no limits, any retries")};
  for (const Policy& policy : policies) {
    fmt::print("{:36}", policy.name);
    for (const std::int64_t load_factor : {1, 2, 5}) {
      const Load load = {"all", 1, capacity * load_factor};
      const auto results = Overload(seed, times, policy, {load}).Run();
      const auto seconds = kRun.count() / kSecondUs;
      const auto answered = static_cast<std::int64_t>(results[0].answered);
      fmt::print(" {}x={}% attempts/call={:.2f}", load_factor,
                 answered * kPercent / (seconds * capacity),
                 static_cast<double>(results[0].attempts) /
                     static_cast<double>(results[0].calls));
    }
    fmt::print("\n");
  }
}

void PrintShares(std::uint64_t seed) {
  fmt::print("slot time of groups that are all backlogged\n");
  const std::vector<Load> loads = {{"a", 1, kCapacityPerSecond * 5},
                                   {"b", 1, kCapacityPerSecond},
                                   {"c", 2, kCapacityPerSecond},
                                   {"d", 4, kCapacityPerSecond}};
  const auto results = Overload(seed, kNarrow, Ours(), loads).Run();
  std::int64_t total = 0;
  std::int64_t weights = 0;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    total += results[i].slot_time_us;
    weights += loads[i].weight;
  }
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const double wanted =
        static_cast<double>(loads[i].weight) / static_cast<double>(weights);
    const double had = static_cast<double>(results[i].slot_time_us) /
                       static_cast<double>(total);
    fmt::print(
        "group={} weight={} offered={}/s share={:.2f}% of {:.2f}%, "
        "off by {:.1f}%\n",
        loads[i].group, loads[i].weight, loads[i].calls_per_second,
        had * kPercent, wanted * kPercent, (had / wanted - 1) * kPercent);
  }
}

}  // namespace

void PrintOverloadExperiment(std::uint64_t seed) {
  PrintFlood(seed);
  PrintGoodput(seed, kNarrow);
  PrintGoodput(seed, kWide);
  PrintShares(seed);
}

}  // namespace verbenastile
