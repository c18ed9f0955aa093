// Who gets a slot when there is too little room: an instance under the loads
// that deployments brought, in virtual time.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "core/admission.h"
#include "core/group_shares.h"
#include "core/queue_policy.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Time kStart = Time(100 * kSecond);
constexpr std::uint32_t kSlots = 12;
constexpr int kPercent = 100;

// A kind of requests: what its rule says, and how many come a second.
struct Kind {
  std::string name;
  Priority priority = Priority::kNormal;
  Duration work{0};
  Duration objective{0};
  Duration deadline{0};
  double per_second = 0;
  bool is_nested = false;
};

struct Outcome {
  int asked = 0;  // Of those that have ended.
  int in_time = 0;
  int late = 0;
  int refused = 0;

  int served_percent() const {
    return asked == 0 ? kPercent : (in_time + late) * kPercent / asked;
  }
  int in_time_percent() const {
    return asked == 0 ? kPercent : in_time * kPercent / asked;
  }
};

// One instance and its callers, who may repeat refused requests at once.
class LoadedInstance {
 public:
  explicit LoadedInstance(std::map<std::string, double> weights = {{"a", 1}})
      : weights_(std::move(weights)) {}

  // Lets the kinds arrive for a time, with each group's part of the calls that
  // is its weight times its factor.
  void Run(const std::vector<Kind>& kinds,
           Duration time,
           const std::map<std::string, double>& factors = {}) {
    double usual = 0;
    for (const auto& [group, weight] : weights_) {
      usual += weight;
    }
    const Time end = now_ + time;
    for (; now_ < end; now_ += kMs) {
      Finish();
      for (const Kind& kind : kinds) {
        for (const auto& [group, weight] : weights_) {
          const auto factor = factors.find(group);
          const double rate = kind.per_second * weight / usual *
                              (factor == factors.end() ? 1 : factor->second) /
                              1'000;
          if (random_.UpTo(kSecond) < kSecond * rate) {
            Ask(kind, group, now_, repeats_);
          }
        }
      }
      Apply(admission_.Tick(now_));
    }
  }

  void RepeatAtOnce(int times) { repeats_ = times; }
  const Outcome& kind(const std::string& name) { return by_kind_[name]; }
  const Outcome& group(const std::string& name) { return by_group_[name]; }
  const std::map<std::string, Outcome>& groups() { return by_group_; }
  Outcome all() const {
    Outcome sum;
    for (const auto& [name, part] : by_kind_) {
      sum.asked += part.asked;
      sum.in_time += part.in_time;
      sum.late += part.late;
      sum.refused += part.refused;
    }
    return sum;
  }
  double busy_share() const { return busy_ / (now_ - kStart) / kSlots; }

 private:
  struct Request {
    Kind kind;
    std::string group;
    Time first;
    int repeats_left = 0;
  };

  static void Add(Outcome& outcome, int Outcome::*what) {
    ++outcome.asked;
    ++(outcome.*what);
  }

  void Count(const Request& request, int Outcome::*what) {
    Add(by_kind_[request.kind.name], what);
    if (!request.kind.is_nested) {
      Add(by_group_[request.group], what);
    }
  }

  void Ask(const Kind& kind, const std::string& group, Time first, int left) {
    AdmissionOffer offer;
    offer.id = ++last_id_;
    offer.priority = kind.priority;
    offer.deadline = first + kind.deadline;
    offer.soft_deadline = first + kind.objective;
    offer.call_class = kind.name;
    offer.by_slack = true;
    if (kind.is_nested) {
      offer.group_priority = Priority::kHigh;
    } else {
      offer.caller_group = group;
      offer.caller_weight = weights_.at(group);
    }
    const Request request{kind, group, first, left};
    const AdmissionResult result = admission_.Offer(offer, now_);
    requests_[offer.id] = request;
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      Start(offer.id);
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      OnRefused(offer.id);
    }
    Apply(result.actions);
  }

  void OnRefused(CallId id) {
    const Request request = requests_.at(id);
    requests_.erase(id);
    if (request.repeats_left > 0) {
      Ask(request.kind, request.group, request.first, request.repeats_left - 1);
    } else {
      Count(request, &Outcome::refused);
    }
  }

  void Start(CallId id) {
    // Between half of the mean and one and a half.
    const Duration work = requests_.at(id).kind.work;
    const Duration taken = work / 2 + random_.UpTo(work);
    busy_ += std::chrono::duration<double>(taken);
    running_.emplace(now_ + taken, id);
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        Start(start->id);
      } else {
        OnRefused(std::get<RefuseCall>(action).id);
      }
    }
  }

  void Finish() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const CallId id = running_.begin()->second;
      running_.erase(running_.begin());
      const Request& request = requests_.at(id);
      Count(request, now_ - request.first <= request.kind.objective
                         ? &Outcome::in_time
                         : &Outcome::late);
      requests_.erase(id);
      Apply(admission_.OnEnded(id, now_));
    }
  }

  std::map<std::string, double> weights_;
  Admission admission_{kSlots};
  Random random_{7};
  Time now_ = kStart;
  CallId last_id_ = 0;
  int repeats_ = 0;
  std::map<CallId, Request> requests_;
  std::multimap<Time, CallId> running_;
  std::map<std::string, Outcome> by_kind_;
  std::map<std::string, Outcome> by_group_;
  std::chrono::duration<double> busy_{0};
};

const Kind kLookup = {
    "lookup", Priority::kNormal, 59 * kMs, 250 * kMs, 800 * kMs, 28, true};
const Kind kCharge = {
    "charge", Priority::kHigh, 190 * kMs, 500 * kMs, 1'200 * kMs, 3, false};
const Kind kStatement = {"statement", Priority::kLow, 590 * kMs,
                         3 * kSecond, 2'500 * kMs,    11,
                         false};
const Kind kBalance = {
    "balance", Priority::kNormal, 300 * kMs, 600 * kMs, 1'500 * kMs, 20, false};
const Kind kTopUp = {
    "top-up", Priority::kNormal, 310 * kMs, 800 * kMs, 1'200 * kMs, 8, false};

Kind Times(Kind kind, double factor) {
  kind.per_second *= factor;
  return kind;
}

// The bounds: no group is served less than a quarter as often as all.
void CheckNoGroupIsStarved(LoadedInstance& instance) {
  const int all = instance.all().served_percent();
  for (const auto& [name, outcome] : instance.groups()) {
    INFO(name << ": " << outcome.asked << " asked");
    CHECK(outcome.served_percent() * 4 >= all);
  }
}

// Weights of groups, a few of them large.
std::map<std::string, double> SkewedWeights(int count) {
  std::map<std::string, double> weights;
  for (int i = 1; i <= count; ++i) {
    weights["g" + std::to_string(i)] = 1.0 / i;
  }
  return weights;
}

}  // namespace

SCENARIO("a burst of a patient kind on the service that nested calls need") {
  LoadedInstance instance;
  instance.Run({kLookup, kCharge, kStatement}, 3 * kSecond);
  instance.Run({kLookup, kCharge, Times(kStatement, 2.4)}, 7 * kSecond);
  THEN("nested and urgent calls are served within their objectives") {
    const Outcome& lookup = instance.kind("lookup");
    INFO(lookup.asked << " asked, " << lookup.late << " late, "
                      << lookup.refused << " refused");
    CHECK(instance.kind("lookup").in_time_percent() >= 99);
    CHECK(instance.kind("charge").in_time_percent() >= 95);
  }
  THEN("the patient kind fills what they leave, and is answered in time") {
    CHECK(instance.busy_share() > 0.85);
    const Outcome& statement = instance.kind("statement");
    CHECK(statement.in_time * 100 >= (statement.in_time + statement.late) * 97);
    CHECK(statement.served_percent() * 4 >= instance.all().served_percent());
  }
}

SCENARIO("two kinds of one priority on a service that both are too many for") {
  LoadedInstance instance;
  instance.Run({Times(kBalance, 2), Times(kTopUp, 2)}, 10 * kSecond);
  // The bound of the rules of the platform: a kind is not served less often
  // than a less urgent one of its service by over 5 in 100.
  CHECK(instance.kind("balance").served_percent() + 5 >=
        instance.kind("top-up").served_percent());
  CHECK(instance.kind("top-up").served_percent() * 4 >=
        instance.all().served_percent());
  CHECK(instance.busy_share() > 0.95);
}

SCENARIO("callers who repeat at once get no more than those who don't") {
  LoadedInstance calm;
  calm.Run({Times(kBalance, 2)}, 10 * kSecond);
  LoadedInstance hasty;
  hasty.RepeatAtOnce(4);
  hasty.Run({Times(kBalance, 2)}, 10 * kSecond);
  CHECK(hasty.all().in_time * 100 >= calm.all().in_time * 95);
}

SCENARIO("one hot group at 6.5 times its usual") {
  LoadedInstance instance(SkewedWeights(20));
  instance.Run({kBalance, kTopUp}, 3 * kSecond);
  instance.Run({kBalance, kTopUp}, 7 * kSecond, {{"g2", 6.5}});
  CheckNoGroupIsStarved(instance);
  int others_asked = 0;
  int others_served = 0;
  for (const auto& [name, outcome] : instance.groups()) {
    if (name != "g2") {
      others_asked += outcome.asked;
      others_served += outcome.in_time + outcome.late;
    }
  }
  // The others ask for less than the instance can serve.
  CHECK(others_served * 100 >= others_asked * 95);
}

SCENARIO("three hot groups at once") {
  LoadedInstance instance(SkewedWeights(20));
  instance.Run({kBalance, kTopUp}, 3 * kSecond);
  instance.Run({kBalance, kTopUp}, 7 * kSecond,
               {{"g2", 6.5}, {"g5", 6.5}, {"g9", 6.5}});
  CheckNoGroupIsStarved(instance);
}

SCENARIO("all groups at once at 1.5 of capacity") {
  LoadedInstance instance(SkewedWeights(86));
  // 28 calls a second of 0.3 s take 8.5 of 12 slots.
  instance.Run({Times(kBalance, 2.1), Times(kTopUp, 2.1)}, 90 * kSecond);
  CheckNoGroupIsStarved(instance);
  CHECK(instance.busy_share() > 0.95);
  const Outcome all = instance.all();
  CHECK(all.in_time * 100 >= (all.in_time + all.late) * 90);
}

SCENARIO("without groups calls are ranked by their priority only") {
  QueuePolicy policy;
  CallNeeds urgent;
  CallNeeds patient;
  patient.priority = Priority::kNormal;
  CHECK(policy.OnOffered(urgent, kStart) == policy.OnOffered(patient, kStart));
  urgent.kind = {500 * kMs, 100 * kMs};
  patient.kind = {3 * kSecond, 2 * kSecond};
  const CallRank urgent_rank = policy.OnOffered(urgent, kStart);
  CHECK(urgent_rank < policy.OnOffered(patient, kStart));
  WHEN("the urgent kind has not come for a while") {
    THEN("the patient one is not put behind") {
      CHECK(policy.RankOf(patient, kStart + 5 * kSecond) ==
            policy.RankOf(urgent, kStart + 5 * kSecond));
    }
  }
}

SCENARIO("the priority of a group precedes that of the rule") {
  QueuePolicy policy;
  CallNeeds low_rule_of_high_group;
  low_rule_of_high_group.group_priority = Priority::kHigh;
  low_rule_of_high_group.priority = Priority::kLow;
  CallNeeds high_rule;
  high_rule.priority = Priority::kHigh;
  CHECK(policy.RankOf(low_rule_of_high_group, kStart) <
        policy.RankOf(high_rule, kStart));
}

SCENARIO("a group is over its share by more than one slot") {
  GroupShares shares;
  shares.OnSlotTime("hot", 1, 5 * kSecond, kStart);
  CHECK_FALSE(shares.IsOver("hot", kSlots, kStart));
  shares.OnSlotTime("other", 1, 5 * kSecond, kStart);
  CHECK_FALSE(shares.IsOver("hot", kSlots, kStart));
  shares.OnSlotTime("hot", 1, 3 * kSecond, kStart);
  CHECK(shares.IsOver("hot", kSlots, kStart));
  CHECK_FALSE(shares.IsOver("other", kSlots, kStart));
  CHECK_FALSE(shares.IsOver("hot", kSlots, kStart + 3 * kSecond));
  CHECK_FALSE(shares.IsOver("unknown", kSlots, kStart));
  shares.OnSlotTime("other", 1, kSecond, kStart + 60 * kSecond);
  CHECK(shares.group_count() == 1);
}

}  // namespace verbenastile
