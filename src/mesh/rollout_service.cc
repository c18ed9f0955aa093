#include "mesh/rollout_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/log.h"
#include "core/digest.h"
#include "platform/rollout_object.h"
#include "platform/wire_names.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "rollout";

constexpr double kPermille = 1'000;
// The part of the share that is used. The rest is a margin for calls that
// instances do not count, such as those that a cut link swallowed.
constexpr double kUsedShare = 0.8;
// Nodes that watch the orders in the store. One stops when it has this much
// lower a rank, so that two do not take turns.
constexpr std::size_t kFollowers = 6;
constexpr std::size_t kMaxFollowers = 9;
// As if this many nodes watched: watches wait long, because orders are rare.
constexpr std::size_t kWatchSpread = 100;
constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);
// A node asks for orders for a new version when most of the time has passed in
// which it would have heard of one, and again at this interval.
constexpr Duration kAskAfter = std::chrono::seconds(2);
constexpr Duration kAskInterval = std::chrono::milliseconds(500);
// One of them may not answer.
constexpr std::size_t kAskedFollowers = 2;
constexpr Duration kMetricsInterval = std::chrono::seconds(1);
// With more members than 100 the interval grows in proportion, so that a judge
// gets at most 200 reports a second, up to the maximum.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxReportInterval = std::chrono::seconds(2);
constexpr Duration kReportIntervalPerMember = std::chrono::milliseconds(5);
// Reports contain what has changed, and each eighth everything: a report may
// have been lost with its link.
constexpr std::uint64_t kFullReports = 8;
// News from the store or from peers are passed on within about this time a
// member, unless two peers have told them already.
constexpr Duration kAnnounceSpread = std::chrono::milliseconds(4);
constexpr Duration kMaxAnnounceSpread = std::chrono::milliseconds(800);
constexpr Duration kPeerNewsDelay = std::chrono::milliseconds(100);
constexpr unsigned kEnoughTellers = 2;
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(500);

std::uint32_t UsedPermille(double share) {
  return static_cast<std::uint32_t>(std::clamp(share * kUsedShare, 0.0, 1.0) *
                                    kPermille);
}

// Of the nodes that watch the configuration, those with the lowest scores watch
// the orders too.
std::uint64_t FollowerScore(std::string_view node) {
  return DigestOf(fmt::format("orders {}", node)).low;
}

}  // namespace

RolloutService::RolloutService(Init init)
    : init_(std::move(init)),
      book_({init_.node_name, init_.incarnation, UsedPermille(init_.share),
             SteadyNow()}),
      follower_(FollowerInit()),
      random_(init_.seed) {}

StoreFollower::Init RolloutService::FollowerInit() {
  StoreFollower::Init init;
  init.io = init_.io;
  init.store = init_.store;
  init.chart = init_.session_chart;
  init.kind = platform::kRolloutKind;
  init.seed = init_.seed;
  init.follower_count = [] { return kWatchSpread; };
  init.on_listed = [this](const std::vector<StoreObject>& items) {
    OnListed(items);
  };
  init.on_event = [this](const StoreEvent& event) {
    if (!event.deleted) {
      OnObject(event.object);
    } else if (const auto change =
                   book_.OnRemoved(event.object.name, init_.store->era(),
                                   event.object.revision, SteadyNow())) {
      OnChange(*change);
    }
  };
  return init;
}

void RolloutService::OnFollowsStore(bool follows) {
  if (std::exchange(follows_store_, follows) != follows) {
    UpdateFollowing(SteadyNow());
  }
}

// A few of the nodes that watch the configuration watch the orders as well.
void RolloutService::UpdateFollowing(Time now) {
  const std::uint64_t own = FollowerScore(init_.node_name);
  const auto& readers = init_.readers();
  const auto rank = static_cast<std::size_t>(std::count_if(
      readers.begin(), readers.end(),
      [&](const auto& entry) { return FollowerScore(entry.first) < own; }));
  const bool follow =
      follows_store_ && rank < (following_ ? kMaxFollowers : kFollowers);
  if (follow == std::exchange(following_, follow)) {
    return;
  }
  Log(LogLevel::kInfo, kLogComponent,
      follow ? "Following the store for orders."
             : "Following peers for orders.",
      {{"readers", readers.size()}, {"rank", rank}});
  follow ? follower_.Start() : follower_.Stop();
  next_refresh_ = now;
}

void RolloutService::OnListed(const std::vector<StoreObject>& items) {
  std::set<std::string> services;
  for (const StoreObject& object : items) {
    services.insert(object.name);
    OnObject(object);
  }
  const bool was_informed = book_.informed();
  for (const RolloutBook::Change& change : book_.OnStoredAll(
           services, init_.store->era(), follower_.revision(), SteadyNow())) {
    OnChange(change);
  }
  if (!was_informed) {
    init_.links->AnnounceRollouts(book_.Shared(SteadyNow()));
  }
}

void RolloutService::OnObject(const StoreObject& object) {
  const auto parsed = platform::ParseRollout(object, init_.store->era());
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    if (std::exchange(malformed_[object.name], object.revision) !=
        object.revision) {
      Log(LogLevel::kError, kLogComponent, "Cannot parse an order.",
          {{"name", object.name},
           {"revision", object.revision},
           {"error", error->reason}});
    }
    return;
  }
  const auto& stored = std::get<platform::StoredRollout>(parsed);
  std::optional<RolloutStatus> status;
  if (stored.state) {
    status.emplace();
    status->state = *stored.state;
    if (stored.deadline_ms != 0) {
      const auto left = static_cast<std::int64_t>(stored.deadline_ms) -
                        static_cast<std::int64_t>(UnixMilliseconds());
      status->remaining = std::min<Duration>(std::chrono::milliseconds(left),
                                             stored.order.duration);
    }
  }
  if (const auto change = book_.OnStored(stored.order, status, SteadyNow())) {
    OnChange(*change);
  }
}

void RolloutService::OnChange(const RolloutBook::Change& change) {
  const Rollout* rollout = book_.Find(change.service);
  if (rollout == nullptr) {
    return;
  }
  LogState("store", *rollout);
  const auto members =
      static_cast<std::int64_t>(init_.member_registry->entries().size());
  AnnounceAfter(change.service, random_.UpTo(std::min(kAnnounceSpread * members,
                                                      kMaxAnnounceSpread) /
                                             2));
}

void RolloutService::LogState(std::string_view why,
                              const Rollout& rollout) const {
  const Time now = SteadyNow();
  const RolloutFinding& finding = rollout.finding;
  Log(LogLevel::kInfo, kLogComponent,
      rollout.removed() ? "An order was removed." : "Roll-out.",
      {{"service", rollout.order.service},
       {"target", rollout.order.target_version},
       {"state", ToString(rollout.state)},
       {"recorded", rollout.recorded ? ToString(rollout.recorded_state) : ""},
       {"source", why},
       {"left_ms", ToMilliseconds(rollout.deadline - now)},
       {"order", fmt::format("{:016x}", rollout.order.id)},
       {"revision", rollout.order.revision},
       {"targets", rollout.targets.size()},
       {"exposed", rollout.budget.sent()},
       {"answered", rollout.budget.answered()},
       {"rank", rollout.rank},
       {"opinion", ToString(finding.opinion)},
       {"rule", finding.rule},
       {"kind", finding.slow ? "slow" : "failures"},
       {"bad", finding.bad},
       {"compared", finding.compared},
       {"expected", fmt::format("{:.1f}", finding.expected)},
       {"target_responses", finding.target_responses},
       {"old_responses", finding.old_responses}});
}

void RolloutService::AnnounceAfter(std::string_view service, Duration delay) {
  pending_.insert_or_assign(std::string(service),
                            Pending{SteadyNow() + delay, 0});
}

void RolloutService::Announce(const Rollout& rollout, Time now) {
  init_.links->AnnounceRollouts({book_.Summary(rollout, now)});
}

void RolloutService::AnnounceDue(Time now) {
  std::erase_if(pending_, [&](const auto& entry) {
    const auto& [service, pending] = entry;
    if (pending.heard >= kEnoughTellers) {
      return true;
    }
    if (now < pending.due) {
      return false;
    }
    if (const Rollout* rollout = book_.Find(service)) {
      Announce(*rollout, now);
    }
    return true;
  });
}

std::optional<LinkRollouts> RolloutService::Shared(Time now) const {
  if (!book_.informed()) {
    return std::nullopt;
  }
  LinkRollouts shared{book_.Shared(now)};
  const auto confirmed = follower_.last_confirmed();
  if (following_ && confirmed) {
    shared.age = now - *confirmed;
  }
  return shared;
}

void RolloutService::AskForConfirmation(Time now) {
  const auto since = book_.unconfirmed_since();
  if (!since || now < *since + kAskAfter || now < next_ask_) {
    return;
  }
  next_ask_ = now + random_.Jitter10Percent(kAskInterval);
  if (following_) {
    follower_.ListNow();
  }
  std::vector<std::pair<std::uint64_t, std::string_view>> followers;
  for (const auto& [name, confirmed] : init_.readers()) {
    followers.emplace_back(FollowerScore(name), name);
  }
  std::sort(followers.begin(), followers.end());
  followers.resize(std::min(followers.size(), kFollowers));
  LinkRollouts question;
  question.asks = true;
  for (std::size_t i = 0; i < kAskedFollowers && !followers.empty(); ++i) {
    const auto chosen =
        followers.begin() + static_cast<long>(random_.Below(followers.size()));
    init_.links->Send(chosen->second, {0, question});
    followers.erase(chosen);
  }
}

void RolloutService::OnReports(std::string_view member,
                               const LinkRollouts& message) {
  const Time now = SteadyNow();
  book_.OnInformed();
  for (const RolloutReport& report : message.reports) {
    const RolloutBook::Heard heard = book_.OnReport(report, now);
    const Rollout* rollout = book_.Find(report.order.service);
    if (rollout == nullptr) {
      continue;
    }
    if (heard.changed) {
      LogState(member, *rollout);
      const auto members =
          static_cast<std::int64_t>(init_.member_registry->entries().size());
      AnnounceAfter(
          report.order.service,
          kPeerNewsDelay + random_.UpTo(std::min(kAnnounceSpread * members,
                                                 kMaxAnnounceSpread)));
    } else if (heard.sender_is_behind) {
      init_.links->Send(member,
                        {0, LinkRollouts{{book_.Summary(*rollout, now)}}});
    } else if (const auto found = pending_.find(report.order.service);
               found != pending_.end() && report.node.empty()) {
      ++found->second.heard;
    }
  }
  if (message.age) {
    book_.OnConfirmed(now - *message.age);
  }
}

void RolloutService::Refresh(Time now) {
  if (book_.IsUpToDate(init_.member_registry->directory()) &&
      now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  if (const auto at = follower_.last_confirmed()) {
    book_.OnConfirmed(*at);
  }
  if (book_.Update(init_.member_registry->directory(), now)) {
    ++holds_revision_;
    Log(LogLevel::kInfo, kLogComponent, "Held instances changed.",
        {{"held", book_.held().size()},
         {"first", book_.held().empty() ? "" : *book_.held().begin()},
         {"informed", book_.informed()}});
  }
}

void RolloutService::Tick(Time now) {
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsInterval;
    UpdateFollowing(now);
    UpdateMetrics(now);
  }
  Refresh(now);
  AskForConfirmation(now);
  if (!book_.any()) {
    return;
  }
  if (now >= next_report_) {
    const auto members =
        static_cast<std::int64_t>(init_.member_registry->entries().size());
    next_report_ = now + random_.Jitter10Percent(std::clamp<Duration>(
                             kReportIntervalPerMember * members,
                             kMinReportInterval, kMaxReportInterval));
    SendReports(now);
  }
  for (const std::string& service : book_.Judge(now)) {
    const Rollout& rollout = *book_.Find(service);
    LogState("judge", rollout);
    Announce(rollout, now);
  }
  AnnounceDue(now);
  WriteStatuses(now);
}

void RolloutService::SendReports(Time now) {
  ++report_number_;
  for (auto& [service, rollout] : book_.rollouts()) {
    if (!rollout.removed() && !rollout.settled()) {
      SendReport(rollout, now);
    }
  }
}

void RolloutService::SendReport(Rollout& rollout, Time now) {
  // A judge that was restarted has forgotten what it was told.
  Judges judges;
  for (const std::string& name : rollout.judges) {
    const Member* member = init_.member_registry->directory().Find(name);
    judges.emplace_back(name, member == nullptr ? 0 : member->incarnation);
  }
  Judges& before = reported_to_[rollout.order.service];
  const bool all = before != judges || report_number_ % kFullReports == 0;
  const LinkFrame frame{0, LinkRollouts{{book_.TakeReport(rollout, all, now)}}};
  for (const std::string& judge : rollout.judges) {
    if (judge == init_.node_name) {
      book_.OnReport(std::get<LinkRollouts>(frame.body).reports.front(), now);
    } else if (!init_.links->Send(judge, frame)) {
      judges.clear();
    }
  }
  before = std::move(judges);
}

void RolloutService::WriteStatuses(Time now) {
  for (const auto& [service, rollout] : book_.rollouts()) {
    const auto state = book_.StatusToWrite(rollout, now);
    const Writing& writing = writing_[service];
    if (state && !writing.in_progress && now >= writing.next_try) {
      Write(rollout, *state, now);
    }
  }
}

void RolloutService::Write(const Rollout& rollout,
                           RolloutState state,
                           Time now) {
  const std::string& service = rollout.order.service;
  writing_[service].in_progress = true;
  const auto left = ToMilliseconds(rollout.deadline - now);
  const auto deadline_ms = static_cast<std::uint64_t>(
      static_cast<std::int64_t>(UnixMilliseconds()) + left);
  StoreObject object;
  object.name = service;
  object.revision = rollout.order.revision;
  object.status = platform::FormatRolloutStatus(
      state, rollout.order.target_version, deadline_ms);
  Log(LogLevel::kInfo, kLogComponent, "Writing a status.",
      {{"service", service},
       {"target", rollout.order.target_version},
       {"state", ToString(state)},
       {"revision", object.revision},
       {"left_ms", left}});
  init_.store->ReplaceStatus(
      platform::kRolloutKind, object,
      [this, service](const StoreResult<StoreObject>& result) {
        OnWritten(service, result);
      });
}

// A write whose answer was lost is tried again; the conflict then shows what is
// stored.
void RolloutService::OnWritten(const std::string& service,
                               const StoreResult<StoreObject>& result) {
  writing_[service] = {false,
                       SteadyNow() + random_.Jitter50Percent(kWriteRetryDelay)};
  if (const auto* error = std::get_if<StoreError>(&result)) {
    Log(LogLevel::kWarning, kLogComponent, "Failed to write a status.",
        {{"service", service},
         {"error", ToString(error->kind)},
         {"detail", error->detail},
         {"stored_status", error->current ? error->current->status : ""}});
    if (error->current) {
      OnObject(*error->current);
    }
    return;
  }
  OnObject(std::get<StoreObject>(result));
}

void RolloutService::UpdateMetrics(Time now) {
  Metrics& metrics = *init_.metrics;
  metrics.Set(metrics.Gauge("rollout_held_instances"),
              static_cast<double>(book_.held().size()));
  for (const auto& [service, rollout] : book_.rollouts()) {
    const auto set = [&metrics, &of = service](std::string_view name,
                                               double value) {
      metrics.Set(
          metrics.Gauge(fmt::format("rollout_{}{{service=\"{}\"}}", name, of)),
          value);
    };
    set("ordered", rollout.removed() ? 0 : 1);
    if (rollout.removed()) {
      continue;
    }
    set("state", static_cast<double>(rollout.state));
    set("settled", rollout.settled() ? 1 : 0);
    set("seconds_left",
        std::chrono::duration<double>(rollout.deadline - now).count());
    set("exposed_calls", static_cast<double>(rollout.budget.sent()));
    set("answered_calls", static_cast<double>(rollout.budget.answered()));
    if (rollout.judge_since) {
      set("judged_responses",
          static_cast<double>(rollout.finding.target_responses));
      set("judged_bad", static_cast<double>(rollout.finding.bad));
      set("judged_nodes", static_cast<double>(rollout.evidence.reporters()));
    }
  }
}

}  // namespace verbenastile
