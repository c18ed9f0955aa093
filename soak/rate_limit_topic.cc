// Topic "rate_limit": an instance that names, changes and ends rate limits in
// its responses, which overtake each other, while its node and the nodes of
// callers are restarted. What the platform promises is checked for the sum over
// the callers' nodes.
#include <fmt/format.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "core/admission.h"
#include "core/instance_rate_limit.h"
#include "core/peer_notices.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kOrigins = 5;
constexpr std::uint32_t kSlots = 9;
constexpr std::size_t kMaxViolations = 5;
constexpr std::string_view kNodeName = "node";
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kStep = 2 * kMs;
constexpr Duration kTick = 20 * kMs;
constexpr Duration kShortestService = 50 * kMs;
constexpr Duration kServiceSpread = 350 * kMs;
constexpr Duration kLongestTransit = 60 * kMs;
constexpr Duration kDeadline = 1'200 * kMs;
constexpr Duration kWindow = std::chrono::seconds(4);
// A node is bound by a limit this long after it passed it on.
constexpr Duration kTold = 500 * kMs;
// A limit that ended is lifted within this time: the longest time between two
// calls at the lowest rate, and the response.
constexpr Duration kLifted = std::chrono::seconds(6);
constexpr std::uint64_t kOffersEvery = 3;
constexpr std::uint64_t kEventsEvery = 700;
constexpr std::array<double, 6> kRates = {0, 0.5, 2, 8.5, 20.3, 60};

class RateLimitRun {
 public:
  explicit RateLimitRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {
    RestartNode();
  }

  SoakReport Run() {
    SoakReport report;
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      now_ += kStep;
      DeliverResponses();
      if (random_.OneIn(kOffersEvery)) {
        Offer(random_.Below(kOrigins));
      }
      if (now_.time_since_epoch() % kTick == Duration::zero()) {
        Apply(admission_->Tick(now_));
      }
      if (random_.OneIn(kEventsEvery)) {
        Disturb();
      }
      CheckLimit();
    }
    report.steps = options_.steps;
    report.digest = digest_.digest();
    report.violations = violations_;
    fmt::print("started={} limits={} restarts={} instances={}\n", started_,
               limits_, restarts_, instance_);
    return report;
  }

 private:
  struct Call {
    std::size_t origin = 0;
    std::uint64_t instance = 0;
    std::uint64_t node_run = 0;  // The run of the node that sent it.
    Time sent;
    std::optional<double> named;  // In its response.
  };
  struct Origin {
    PeerNotices notices;
    // When it passed on the limit that is being named; empty: not yet.
    std::optional<Time> told;
  };

  std::string InstanceId() const { return fmt::format("i-{}", instance_); }

  void Fail(std::string text) {
    if (violations_.size() < kMaxViolations) {
      violations_.push_back(fmt::format(
          "{} ms: {}", ToMilliseconds(now_.time_since_epoch()), text));
    }
  }

  void RestartNode() {
    ++restarts_;
    admission_ = std::make_unique<Admission>(kSlots);
    limit_ = {};
    limit_.OnInstance({InstanceId()});
    node_since_ = now_;
    is_heard_ = false;
    waiting_.clear();
    // The first origin is the node itself.
    origins_[0] = {};
  }

  void Disturb() {
    switch (random_.Below(6)) {
      case 0:
      case 1:
        Name(kRates[random_.Below(kRates.size())]);
        break;
      case 2:
        Name(std::nullopt);
        break;
      case 3:
      case 4:
        RestartNode();
        break;
      default:
        if (random_.OneIn(2)) {
          origins_[random_.Below(kOrigins - 1) + 1] = {};
        } else {
          ReplaceInstance();
        }
    }
  }

  // The instance names another limit from now on, or none.
  void Name(std::optional<double> rate) {
    limits_ += rate ? 1 : 0;
    named_ = rate;
    named_since_ = now_;
    is_heard_ = false;
    bound_starts_.clear();
    for (Origin& origin : origins_) {
      origin.told.reset();
    }
  }

  void ReplaceInstance() {
    ++instance_;
    Name(std::nullopt);
    limit_.OnInstance({InstanceId()});
    ApplyLimit();
  }

  void ApplyLimit() {
    if (options_.mutation != "ignore_limit") {
      admission_->SetRateLimit(limit_.calls_per_second(), now_);
    }
  }

  void Offer(std::size_t origin) {
    const auto notice = origins_[origin].notices.Find(kNodeName, InstanceId());
    if (notice && options_.mutation != "keep_from_peers" &&
        limit_.OnPeerNotice(*notice)) {
      ApplyLimit();
    }
    AdmissionOffer offer;
    offer.id = ++last_id_;
    offer.deadline = now_ + kDeadline;
    const AdmissionResult result = admission_->Offer(offer, now_);
    waiting_[offer.id] = origin;
    Apply(result.actions);
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      Send(offer.id);
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      waiting_.erase(offer.id);
    }
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        Send(start->id);
      } else {
        waiting_.erase(std::get<RefuseCall>(action).id);
      }
    }
  }

  void Send(CallId id) {
    const std::size_t origin = waiting_.at(id);
    waiting_.erase(id);
    ++started_;
    digest_.Add(id);
    Call call{origin, instance_, restarts_, now_, std::nullopt};
    CheckWindow(origins_[origin]);
    const Time done = now_ + kShortestService + random_.UpTo(kServiceSpread);
    responses_.emplace(done, std::pair(id, call));
  }

  void CheckWindow(const Origin& origin) {
    if (!named_ || !origin.told || now_ < *origin.told + kTold) {
      return;
    }
    bound_starts_.push_back(now_);
    while (bound_starts_.front() <= now_ - kWindow) {
      bound_starts_.pop_front();
    }
    const double allowed = 1.5 * *named_ * 4 + 5;
    if (static_cast<double>(bound_starts_.size()) > allowed) {
      Fail(fmt::format("{} calls in a window at a limit of {}",
                       bound_starts_.size(), *named_));
    }
  }

  void DeliverResponses() {
    while (!responses_.empty() && responses_.begin()->first <= now_) {
      auto [id, call] = responses_.begin()->second;
      responses_.erase(responses_.begin());
      if (call.instance == instance_) {
        call.named = named_;
      }
      arriving_.emplace(now_ + random_.UpTo(kLongestTransit),
                        std::pair(id, call));
    }
    while (!arriving_.empty() && arriving_.begin()->first <= now_) {
      const auto [id, call] = arriving_.begin()->second;
      arriving_.erase(arriving_.begin());
      if (call.node_run == restarts_) {
        OnResponse(id, call);
      }
    }
  }

  void OnResponse(CallId id, const Call& call) {
    ResponseNotice response;
    response.is_signed = true;
    response.is_success = true;
    if (call.named) {
      response.rate_limit = NamedRateLimit{*call.named};
    }
    const Time sent =
        options_.mutation == "order_by_arrival" ? now_ : call.sent;
    if (limit_.OnResponse(fmt::format("i-{}", call.instance), response, sent,
                          now_)) {
      ApplyLimit();
    }
    Origin& origin = origins_[call.origin];
    if (limit_.has_named_limit()) {
      origin.notices.OnNotice(kNodeName,
                              {InstanceId(), limit_.calls_per_second()}, now_);
    }
    if (named_ && call.named == named_ && call.instance == instance_) {
      is_heard_ = true;
      origin.told = origin.told.value_or(now_);
    }
    Apply(admission_->OnEnded(id, now_));
  }

  // Once a response has named the limit, it stays until the instance names
  // another; once it has ended, it is lifted.
  void CheckLimit() {
    const auto in_force = limit_.calls_per_second();
    if (is_heard_ && named_ && (!in_force || *in_force > *named_)) {
      Fail(fmt::format("the limit of {} is not in force", *named_));
      is_heard_ = false;
    }
    const Time since = std::max(named_since_, node_since_);
    if (!named_ && now_ > since + kLifted && in_force) {
      Fail("a limit that ended is still in force");
      named_since_ = now_;
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  RunDigest digest_;
  Time now_;
  std::unique_ptr<Admission> admission_;
  InstanceRateLimit limit_;
  std::array<Origin, kOrigins> origins_;
  std::map<CallId, std::size_t> waiting_;  // The origins of offered calls.
  std::multimap<Time, std::pair<CallId, Call>> responses_;  // By their end.
  std::multimap<Time, std::pair<CallId, Call>> arriving_;
  std::uint64_t instance_ = 1;
  std::optional<double> named_;
  Time named_since_;
  Time node_since_;        // When the node was started.
  bool is_heard_ = false;  // The node got a response that names the limit.
  std::deque<Time> bound_starts_;  // Calls of nodes that the limit binds.
  std::vector<std::string> violations_;
  CallId last_id_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t limits_ = 0;
  std::uint64_t restarts_ = 0;
};

SoakReport RunRateLimit(const SoakOptions& options) {
  return RateLimitRun(options).Run();
}

}  // namespace

SoakTopic RateLimitTopic() {
  return {"rate_limit",
          RunRateLimit,
          {"ignore_limit", "keep_from_peers", "order_by_arrival"}};
}

}  // namespace verbenastile
