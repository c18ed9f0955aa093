#include "core/rollout_book.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace verbenastile {
namespace {

// Instances are slow for some seconds after their start; a short roll-out has
// less time for that.
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr int kWarmUpDivisor = 6;
// Calls at old instances have ended this long after the move at the latest,
// unless their callers wait longer.
constexpr Duration kMaxMove = std::chrono::seconds(4);
constexpr Duration kMinMove = std::chrono::seconds(1);
// Instances of a version that was returned from leave within this time. Until
// then they get no calls, also if the order is removed.
constexpr Duration kDrainTime = std::chrono::seconds(30);
// The longest roll-out; what a peer tells of a longer one is malformed.
constexpr Duration kMaxDuration = std::chrono::hours(24);
// The same for one that was over longer ago.
constexpr Duration kMaxOverdue = std::chrono::hours(24 * 36'500);
// All nodes have reported within this time.
constexpr Duration kReportAge = std::chrono::seconds(3);
// Nodes try to write the status one after the other, this far apart.
constexpr Duration kWriteTurn = std::chrono::milliseconds(700);
constexpr std::size_t kMaxWriters = 12;
// The parts of the margin that are left when a judge that is cut off decides.
constexpr int kLastVerdict = 2;
constexpr int kVerdictParts = 5;
// The part of the margin that is left for the write.
constexpr int kWriteDivisor = 4;

bool IsWellFormed(const RolloutReport& report) {
  const RolloutOrder& order = report.order;
  const bool removed = order.target_version.empty();
  return !order.service.empty() && order.duration <= kMaxDuration &&
         (removed || order.duration > Duration::zero()) &&
         report.remaining <= order.duration && report.remaining >= -kMaxOverdue;
}

}  // namespace

RolloutBook::RolloutBook(Init init)
    : init_(std::move(init)), holds_(init_.started) {}

Rollout* RolloutBook::Find(std::string_view service) {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

const Rollout* RolloutBook::Find(std::string_view service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

Rollout* RolloutBook::Learn(const RolloutOrder& order,
                            Time deadline,
                            Time now) {
  const auto found = rollouts_.find(order.service);
  if (found != rollouts_.end()) {
    Rollout& known = found->second;
    if (known.order.id == order.id) {
      if (std::pair(order.era, order.revision) >
          std::pair(known.order.era, known.order.revision)) {
        known.order.era = order.era;
        known.order.revision = order.revision;
      }
      // Who knows of the order for longer knows its deadline better.
      known.deadline = std::min(known.deadline, deadline);
      return &known;
    }
    if (!Replaces(order, known.order)) {
      return nullptr;
    }
    if (!known.removed() && known.state != RolloutState::kCompleted &&
        known.order.target_version != order.target_version) {
      const bool bad = known.state == RolloutState::kRolledBack;
      holds_.Bar(
          order.service, known.order.target_version,
          bad ? std::max(known.deadline, now + kDrainTime) : known.deadline);
    }
    if (order.target_version.empty()) {
      lost_.insert_or_assign(order.service, std::move(known));
    }
    rollouts_.erase(found);
  }
  outdated_ = true;
  const auto lost = lost_.find(order.service);
  if (lost != lost_.end() && lost->second.order.id == order.id) {
    Rollout& rollout =
        rollouts_.insert_or_assign(order.service, std::move(lost->second))
            .first->second;
    lost_.erase(lost);
    rollout.order = order;
    rollout.recorded = false;
    rollout.state_since = now;
    rollout.old_in_flight = 0;
    return &rollout;
  }
  Rollout& rollout =
      rollouts_.try_emplace(order.service, order, init_.exposed_permille)
          .first->second;
  rollout.learned = now;
  rollout.state_since = now;
  rollout.deadline = deadline;
  return &rollout;
}

bool RolloutBook::SetState(Rollout& rollout, RolloutState state, Time now) {
  if (rollout.state == state) {
    return false;
  }
  rollout.state = state;
  rollout.state_since = now;
  outdated_ = true;
  return true;
}

// The store has this status. A final one is never replaced.
bool RolloutBook::Record(Rollout& rollout, RolloutState state, Time now) {
  if (rollout.settled() ||
      (rollout.recorded && rollout.recorded_state == state)) {
    return false;
  }
  rollout.recorded = true;
  rollout.recorded_state = state;
  if (state != RolloutState::kRunning) {
    SetState(rollout, state, now);
  }
  return true;
}

std::optional<RolloutBook::Change> RolloutBook::OnStored(
    const RolloutOrder& order,
    const std::optional<RolloutStatus>& status,
    Time now) {
  const Rollout* before = Find(order.service);
  const bool known = before != nullptr && before->order.id == order.id;
  // A status that was there before the order replaced another one is not about
  // this order.
  const bool stale = before != nullptr && !known && !before->removed() &&
                     status && status->state != RolloutState::kRunning;
  const bool has_deadline = status && status->remaining != Duration::zero();
  const bool restored = known && order.era > before->order.era;
  Rollout* rollout = Learn(
      order, now + (has_deadline ? status->remaining : order.duration), now);
  if (rollout == nullptr) {
    return std::nullopt;
  }
  if (restored && rollout->recorded &&
      (!status || status->state != rollout->recorded_state)) {
    // The copy that the store came back from lacks the status.
    rollout->recorded = false;
    rollout->state_since = now;
  }
  const bool changed = status && !stale && Record(*rollout, status->state, now);
  if (known && !changed) {
    return std::nullopt;
  }
  return Change{order.service, true};
}

std::vector<RolloutBook::Change> RolloutBook::OnStoredAll(
    const std::set<std::string>& services,
    StoreEra era,
    std::int64_t revision,
    Time now) {
  std::vector<Change> changes;
  std::vector<std::string> gone;
  for (const auto& [service, rollout] : rollouts_) {
    if (!services.contains(service) && !rollout.removed()) {
      gone.push_back(service);
    }
  }
  for (const std::string& service : gone) {
    if (auto change = OnRemoved(service, era, revision, now)) {
      changes.push_back(std::move(*change));
    }
  }
  informed_ = true;
  outdated_ = true;
  return changes;
}

std::optional<RolloutBook::Change> RolloutBook::OnRemoved(
    std::string_view service,
    StoreEra era,
    std::int64_t revision,
    Time now) {
  const Rollout* known = Find(service);
  if (known == nullptr || known->removed()) {
    return std::nullopt;
  }
  RolloutOrder none;
  none.service = service;
  none.era = era;
  none.revision = revision;
  if (Learn(none, now, now) == nullptr) {
    return std::nullopt;
  }
  return Change{std::string(service), true};
}

RolloutBook::Heard RolloutBook::OnReport(const RolloutReport& report,
                                         Time now) {
  Heard heard;
  if (!IsWellFormed(report)) {
    return heard;
  }
  const Rollout* before = Find(report.order.service);
  const bool known = before != nullptr && before->order.id == report.order.id;
  Rollout* rollout = Learn(report.order, now + report.remaining, now);
  if (rollout == nullptr) {
    heard.sender_is_behind = true;
    return heard;
  }
  heard.changed = !known;
  if (report.recorded) {
    heard.changed = Record(*rollout, report.state, now) || heard.changed;
  } else if (!rollout->settled() && report.state > rollout->state) {
    heard.changed = SetState(*rollout, report.state, now) || heard.changed;
  }
  const bool sender_settled =
      report.recorded && report.state != RolloutState::kRunning;
  heard.sender_is_behind =
      !sender_settled && (report.state != rollout->state || rollout->settled());
  if (!report.node.empty()) {
    rollout->evidence.Merge(report);
    rollout->movers[report.node] = {
        report.old_in_flight, report.state == RolloutState::kCompleted, now};
  }
  return heard;
}

void RolloutBook::OnConfirmed(Time at) {
  confirmed_ = std::max(confirmed_, std::optional(at));
}

bool RolloutBook::Update(const MemberDirectory& directory, Time now) {
  directory_revision_ = directory.revision();
  outdated_ = false;
  for (auto& [service, rollout] : rollouts_) {
    std::vector<std::string> targets;
    for (const Member* member : directory.ServingMembers(service)) {
      if (member->software == rollout.order.target_version) {
        targets.push_back(member->name);
      }
    }
    rollout.targets.Sync(
        targets, std::min(kWarmUp, rollout.order.duration / kWarmUpDivisor),
        now);
    ChooseJudges(rollout, directory);
    if (rollout.rank >= kJudges) {
      rollout.judge_since.reset();
    } else if (!rollout.judge_since) {
      rollout.judge_since = now;
    }
  }
  VersionHolds::Knowledge known;
  known.informed = informed_;
  known.confirmed = confirmed_;
  known.order =
      [&](std::string_view service) -> std::optional<VersionHolds::Order> {
    const Rollout* rollout = Find(service);
    if (rollout == nullptr) {
      return std::nullopt;
    }
    return VersionHolds::Order{rollout->order.target_version, rollout->state,
                               rollout->learned, rollout->deadline};
  };
  return holds_.Update(directory, known, now);
}

// Rendezvous hashing over the live members, whatever service they run.
void RolloutBook::ChooseJudges(Rollout& rollout,
                               const MemberDirectory& directory) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [name, member] : directory.members()) {
    const bool live =
        member.state <= MemberState::kSuspect || name == init_.self;
    if (live) {
      ranked.emplace_back(
          DigestOf(fmt::format("judge {} {}", rollout.order.id, name)).low,
          name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  rollout.rank = ranked.size();
  rollout.live_members = ranked.size();
  rollout.judges.clear();
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i].second == init_.self) {
      rollout.rank = i;
    }
    if (i < kJudges) {
      rollout.judges.push_back(ranked[i].second);
    }
  }
}

std::vector<std::string> RolloutBook::Judge(Time now) {
  std::vector<std::string> changed;
  for (auto& [service, rollout] : rollouts_) {
    const bool open = !rollout.removed() && !rollout.settled() &&
                      rollout.state != RolloutState::kRolledBack;
    if (!open || !rollout.judge_since) {
      continue;
    }
    rollout.finding = rollout.judge.Evaluate(rollout.evidence.totals(),
                                             rollout.targets.size(), now);
    const auto verdict = DecideRollout(rollout.finding, rollout.order.duration,
                                       rollout.deadline - now);
    // A version that calls move to is returned from only for a reason.
    const bool has_reports = now - *rollout.judge_since >= kReportAge;
    const bool may_change =
        (rollout.state == RolloutState::kRunning && has_reports) ||
        rollout.finding.opinion == RolloutOpinion::kBad;
    // A judge that is cut off leaves a verdict for want of evidence to those
    // that have it, while there is time for one of its own.
    const bool waits =
        verdict == RolloutState::kRolledBack &&
        rollout.finding.opinion != RolloutOpinion::kBad &&
        !HearsMost(rollout, now) &&
        rollout.deadline - now > RolloutMargin(rollout.order.duration) *
                                     kLastVerdict / kVerdictParts;
    if (verdict && may_change && !waits && SetState(rollout, *verdict, now)) {
      changed.push_back(service);
    }
  }
  return changed;
}

// Whether at least half of the live members have reported lately.
bool RolloutBook::HearsMost(const Rollout& rollout, Time now) const {
  const auto fresh = static_cast<std::size_t>(std::count_if(
      rollout.movers.begin(), rollout.movers.end(), [&](const auto& entry) {
        return now - entry.second.reported <= kReportAge;
      }));
  return fresh * 2 >= rollout.live_members;
}

// Whether no node has calls at old instances, as far as nodes report.
bool RolloutBook::HasMoved(const Rollout& rollout, Time now) const {
  const Duration moving = now - rollout.state_since;
  const Duration late = RolloutMargin(rollout.order.duration) / kWriteDivisor;
  if (moving >= kMaxMove || rollout.deadline - now <= late) {
    return moving >= kMinMove;
  }
  const bool all_moved = std::all_of(
      rollout.movers.begin(), rollout.movers.end(), [&](const auto& entry) {
        const Rollout::Mover& mover = entry.second;
        return now - mover.reported > kReportAge ||
               (mover.moved && mover.old_in_flight == 0);
      });
  return moving >= kMinMove && rollout.rank < kJudges && all_moved &&
         !rollout.movers.empty();
}

std::optional<RolloutState> RolloutBook::StatusToWrite(const Rollout& rollout,
                                                       Time now) const {
  if (rollout.removed() || rollout.settled() ||
      (rollout.recorded && rollout.recorded_state == rollout.state)) {
    return std::nullopt;
  }
  const Duration turn = kWriteTurn * static_cast<std::int64_t>(
                                         std::min(rollout.rank, kMaxWriters));
  if (rollout.rank >= kMaxWriters || now - rollout.state_since < turn) {
    return std::nullopt;
  }
  if (rollout.state == RolloutState::kCompleted &&
      (!HasMoved(rollout, now - turn))) {
    return std::nullopt;
  }
  return rollout.state;
}

RolloutReport RolloutBook::Summary(const Rollout& rollout, Time now) const {
  RolloutReport report;
  report.order = rollout.order;
  report.remaining = rollout.deadline - now;
  report.state = rollout.state;
  report.recorded = rollout.recorded && rollout.recorded_state == rollout.state;
  return report;
}

RolloutReport RolloutBook::TakeReport(Rollout& rollout,
                                      bool all,
                                      Time now) const {
  RolloutReport report = Summary(rollout, now);
  report.node = init_.self;
  report.incarnation = init_.incarnation;
  report.old_in_flight = rollout.old_in_flight;
  report.outcomes = rollout.outcomes.TakeReport(all);
  return report;
}

std::vector<RolloutReport> RolloutBook::Shared(Time now) const {
  std::vector<RolloutReport> shared;
  for (const auto& [service, rollout] : rollouts_) {
    shared.push_back(Summary(rollout, now));
  }
  return shared;
}

}  // namespace verbenastile
