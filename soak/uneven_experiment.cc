// The choice among instances of unequal speed, with slow spells and a wave of
// load that reaches each failure domain at another time.
#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cmath>
#include <memory>
#include <numbers>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance_experiment.h"
#include "core/admission.h"
#include "core/balancer.h"
#include "core/instance_pace.h"
#include "core/pace_weight.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kDomains = 3;
constexpr std::uint32_t kSlots = 18;
constexpr const char* kService = "booking";
constexpr double kSwing = 0.55;
constexpr double kPeriodUs = 15e6;
constexpr double kPhasePerDomain = 0.08;
constexpr double kMeanRunUs = 260e3;
// Of 100 calls, the part that takes `kTailFactor` times as long.
constexpr std::int64_t kTailPercent = 4;
constexpr double kTailFactor = 4;
constexpr double kSpellFactor = 3;
constexpr std::int64_t kSpellUs = 600'000;
constexpr std::int64_t kSpellEveryUs = 20'000'000;
constexpr Duration kWay = std::chrono::milliseconds(2);
constexpr Duration kObjective = std::chrono::milliseconds(800);
constexpr Duration kTimeout = std::chrono::milliseconds(1200);
constexpr Duration kRoomInterval = std::chrono::milliseconds(200);
constexpr Duration kStart = std::chrono::seconds(20);  // All are warm.
constexpr Duration kMeasured = std::chrono::seconds(35);
constexpr Duration kEnd = std::chrono::seconds(65);
constexpr std::uint32_t kFreeSlotAttempts = 2;
constexpr std::uint32_t kMaxAttempts = 4;

class Uneven {
 public:
  Uneven(std::uint64_t seed, std::size_t nodes, double load, bool with_pace)
      : random_(seed), choices_(seed), with_pace_(with_pace) {
    chart_ = leaf::try_handle_all(
        [] { return LoadEmbeddedChart("upstream_health"); },
        [] { return StateChart{}; });
    MemberDirectory directory;
    for (std::size_t i = 0; i < nodes; ++i) {
      Member member;
      member.name = fmt::format("instance-{:03}", i);
      member.failure_domain = fmt::format("domain-{}", i % kDomains);
      member.region = "north";
      member.service = kService;
      member.slots = kSlots;
      directory.Put(member);
      indexes_[member.name] = i;
    }
    double capacity = 0;
    for (const auto& [name, member] : directory.members()) {
      Node& node = nodes_.emplace_back();
      node.speed = 0.5 + 1.1 * Fraction();
      node.spell_offset_us =
          static_cast<std::int64_t>(random_.Below(kSpellEveryUs));
      capacity += node.speed * kSlots * 1e6 / kMeanRunUs;
      node.balancer = std::make_unique<Balancer>(
          Balancer::Init{&chart_, member.failure_domain, "north", {}});
      node.balancer->Sync(directory, Time());
    }
    mean_gap_us_ = 1e6 / (capacity * load);
  }

  void Run() {
    Schedule(Time(kStart), 0, Step::kArrival);
    while (!events_.empty() && events_.top().when < Time(kEnd)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      if (event.step == Step::kArrival) {
        OnArrival();
      } else if (event.step == Step::kAtGate) {
        OnGate(event.call);
      } else {
        OnRunEnd(event.call);
      }
    }
  }

  void Print(std::string_view title) const {
    double most = 0;
    double sum = 0;
    for (const Node& node : nodes_) {
      most = std::max(most, node.work_us);
      sum += node.work_us;
    }
    const auto percent = [&](std::int64_t part) {
      return 100.0 * static_cast<double>(part) / static_cast<double>(calls_);
    };
    fmt::print(
        "nodes={:3} {:32} failed={:.2f}% refused={:.2f}% late={:.2f}% "
        "busiest_to_mean_work={:.2f}\n",
        nodes_.size(), title, percent(failed_), percent(refused_),
        percent(late_), most * static_cast<double>(nodes_.size()) / sum);
  }

 private:
  enum class Step : std::uint8_t { kArrival, kAtGate, kRunEnd };
  struct Event {
    Time when;
    std::uint64_t call = 0;
    Step step = Step::kArrival;
    bool operator>(const Event& other) const { return when > other.when; }
  };
  struct Node {
    std::unique_ptr<Balancer> balancer;
    Admission admission{kSlots};
    InstancePace pace;
    double speed = 1;
    std::int64_t spell_offset_us = 0;
    double work_us = 0;
    Time room_at;
    std::int64_t pace_weight_permille = 0;
  };
  struct Call {
    std::size_t from = 0;
    std::size_t to = 0;
    UpstreamHandle handle;
    std::vector<UpstreamHandle> tried;
    Time begin;
    Time sent;
    Time started;
    std::uint32_t refusals = 0;
  };

  double Fraction() {
    constexpr std::uint64_t kParts = 1'000'000;
    return static_cast<double>(random_.Below(kParts)) / kParts;
  }

  void Schedule(Time when, std::uint64_t call, Step step) {
    events_.push({when, call, step});
  }

  void OnArrival() {
    const auto domain = static_cast<std::size_t>(random_.Below(kDomains));
    const double turn =
        static_cast<double>(now_.time_since_epoch().count()) / kPeriodUs +
        kPhasePerDomain * static_cast<double>(domain);
    const double wave = 1 + kSwing * std::sin(2 * std::numbers::pi * turn);
    Schedule(
        now_ + Duration(static_cast<std::int64_t>(-mean_gap_us_ / (1 + kSwing) *
                                                  std::log(1 - Fraction()))),
        0, Step::kArrival);
    if (Fraction() * (1 + kSwing) > wave) {
      return;
    }
    const std::uint64_t id = ++last_call_;
    Call& call = open_[id];
    const std::size_t in_domain =
        (nodes_.size() - domain + kDomains - 1) / kDomains;
    call.from = domain + kDomains * random_.Below(in_domain);
    call.begin = now_;
    calls_ += IsMeasured(call) ? 1 : 0;
    Send(id);
  }

  static bool IsMeasured(const Call& call) {
    return call.begin >= Time(kMeasured);
  }

  void Send(std::uint64_t id) {
    Call& call = open_.at(id);
    Node& node = nodes_[call.from];
    if (with_pace_ && now_ - node.room_at >= kRoomInterval) {
      node.room_at = now_;
      node.pace_weight_permille =
          PaceWeightPermille(node.balancer->RoomByDomain(kService, now_),
                             node.balancer->PacesOf(kService));
    }
    ChooseQuery query;
    query.service = kService;
    query.excluded = call.tried;
    query.remote_cost = kWay;
    query.service_time = Duration(static_cast<std::int64_t>(kMeanRunUs));
    query.objective = kObjective;
    query.pace_weight_permille = node.pace_weight_permille;
    call.handle = node.balancer->Choose(query, now_, choices_);
    const Member* member = node.balancer->Find(call.handle);
    if (member == nullptr) {
      Finish(id, refused_);
      return;
    }
    call.to = indexes_.at(member->name);
    call.tried.push_back(call.handle);
    call.sent = now_;
    node.balancer->OnStarted(call.handle, now_);
    Schedule(now_ + kWay, id, Step::kAtGate);
  }

  void OnGate(std::uint64_t id) {
    const Call& call = open_.at(id);
    AdmissionOffer offer{id, "all", 1, Priority::kNormal,
                         call.begin + kTimeout};
    offer.soft_deadline = call.begin + kObjective;
    offer.only_if_free = call.refusals < kFreeSlotAttempts;
    const AdmissionResult result = nodes_[call.to].admission.Offer(offer, now_);
    Apply(result.actions);
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      Begin(id);
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      OnRefused(id);
    }
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

  void Begin(std::uint64_t id) {
    Call& call = open_.at(id);
    Node& node = nodes_[call.to];
    call.started = now_;
    const std::int64_t phase =
        (now_.time_since_epoch().count() + node.spell_offset_us) %
        kSpellEveryUs;
    double run = kMeanRunUs * (0.5 + Fraction()) / node.speed;
    run *= phase < kSpellUs ? kSpellFactor : 1;
    run *= random_.Below(100) < kTailPercent ? kTailFactor : 1;
    const Time end = now_ + Duration(static_cast<std::int64_t>(run));
    Schedule(std::min(end, call.begin + kTimeout), id, Step::kRunEnd);
  }

  void Report(const Call& call) {
    Node& node = nodes_[call.to];
    UpstreamLoad load{node.admission.busy(),
                      static_cast<std::uint32_t>(node.admission.queued())};
    load.slowness_permille = node.pace.slowness_permille();
    nodes_[call.from].balancer->OnLoadReport(call.handle, load, now_);
  }

  void OnRefused(std::uint64_t id) {
    Call& call = open_.at(id);
    Report(call);
    nodes_[call.from].balancer->OnEnded(call.handle,
                                        call.refusals < kFreeSlotAttempts
                                            ? AttemptOutcome::kCancelled
                                            : AttemptOutcome::kRefused,
                                        now_ - call.sent, now_);
    if (++call.refusals == kFreeSlotAttempts) {
      call.tried.clear();
    }
    if (call.refusals < kMaxAttempts) {
      Send(id);
    } else {
      Finish(id, refused_);
    }
  }

  void OnRunEnd(std::uint64_t id) {
    const Call& call = open_.at(id);
    Node& node = nodes_[call.to];
    const Duration ran = now_ - call.started;
    node.work_us += IsMeasured(call) ? static_cast<double>(ran.count()) : 0;
    const Duration usual(static_cast<std::int64_t>(kMeanRunUs));
    node.pace.OnRan(ran, usual);
    const AdmissionActions actions = node.admission.OnEnded(id, now_);
    Report(call);
    Balancer& balancer = *nodes_[call.from].balancer;
    const bool in_time = now_ < call.begin + kTimeout;
    if (in_time) {
      balancer.OnServiceTime(call.handle, ran, usual, now_);
    }
    balancer.OnEnded(
        call.handle,
        in_time ? AttemptOutcome::kAnswered : AttemptOutcome::kFailed,
        now_ - call.sent, now_);
    if (!in_time) {
      Finish(id, failed_);
    } else if (now_ > call.begin + kObjective) {
      Finish(id, late_);
    } else {
      open_.erase(id);
    }
    Apply(actions);
  }

  void Finish(std::uint64_t id, std::int64_t& count) {
    count += IsMeasured(open_.at(id)) ? 1 : 0;
    open_.erase(id);
  }

  SoakRandom random_;
  std::mt19937_64 choices_;
  bool with_pace_;
  StateChart chart_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, std::size_t> indexes_;
  double mean_gap_us_ = 0;
  Time now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<std::uint64_t, Call> open_;
  std::uint64_t last_call_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t late_ = 0;
};

}  // namespace

void PrintUnevenExperiment(std::uint64_t seed) {
  for (const std::size_t nodes : {10U, 87U, 690U}) {
    for (const double load : {0.35, 0.65}) {
      for (const bool with_pace : {false, true}) {
        Uneven uneven(seed, nodes, load, with_pace);
        uneven.Run();
        uneven.Print(fmt::format("mean load {:.0f}% {}", load * 100,
                                 with_pace ? "with told paces" : "before"));
      }
    }
  }
}

}  // namespace verbenastile
