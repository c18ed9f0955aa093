#include "mesh/quota_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

QuotaService::QuotaService(Init init)
    : init_(std::move(init)),
      quotas_(init_.node_name, init_.limits, SteadyNow()),
      admitted_(init_.metrics->Counter("quota_admitted_total")),
      admitted_spare_(init_.metrics->Counter("quota_admitted_spare_total")),
      refused_(init_.metrics->Counter("quota_refused_total")),
      unknown_(init_.metrics->Counter("quota_unknown_total")),
      waited_(init_.metrics->Counter("quota_waited_total")),
      given_back_(init_.metrics->Counter("quota_given_back_total")),
      needs_sent_(init_.metrics->Counter("quota_needs_sent_total")),
      needs_answered_(init_.metrics->Counter("quota_needs_answered_total")),
      tokens_lent_(init_.metrics->Counter("quota_tokens_lent_total")),
      limits_learned_(init_.metrics->Counter("quota_limits_learned_total")),
      tokens_held_(init_.metrics->Gauge("quota_tokens_held")),
      coordinated_(init_.metrics->Gauge("quota_groups_coordinated")),
      part_requests_sent_(
          init_.metrics->Counter("quota_part_requests_sent_total")),
      parts_held_(init_.metrics->Gauge("quota_parts_held")),
      may_own_parts_(init_.metrics->Gauge("quota_may_own_parts")) {}

void QuotaService::SetGroups(const std::vector<Group>& groups,
                             std::uint64_t generation) {
  const Time now = SteadyNow();
  quotas_.SetGroups(groups, generation, now);
  last_logged_.clear();
  UpdateMembers(now);
}

QuotaVerdict QuotaService::Request(const Group& group,
                                   CallId call,
                                   Duration remaining,
                                   Callback callback) {
  const Time now = SteadyNow();
  UpdateMembers(now);
  const QuotaVerdict verdict = quotas_.Request(group, now);
  SendNeeds(now);
  if (verdict.decision == QuotaDecision::kWait) {
    init_.metrics->Add(waited_);
    waiters_[call] = {group.name, now + std::min(kMaxQuotaWait, remaining / 2),
                      std::move(callback)};
  } else {
    Count(verdict);
  }
  return verdict;
}

void QuotaService::StopWaiting(CallId call) {
  const auto found = waiters_.find(call);
  if (found != waiters_.end()) {
    quotas_.StopWaiting(found->second.group);
    waiters_.erase(found);
  }
}

void QuotaService::GiveBack(std::string_view group, Duration age) {
  init_.metrics->Add(given_back_);
  quotas_.GiveBack(group, age);
}

std::vector<QuotaLoan> QuotaService::OnNeeds(
    std::string_view member,
    const std::vector<QuotaNeed>& needs) {
  const Time now = SteadyNow();
  LearnLimits(member, needs, now);
  UpdateMembers(now);
  std::vector<QuotaLoan> loans = quotas_.OnNeeds(member, needs, now);
  init_.metrics->Add(needs_answered_, needs.size());
  for (const QuotaLoan& loan : loans) {
    init_.metrics->Add(tokens_lent_, loan.tokens);
  }
  SendNeeds(now);
  return loans;
}

void QuotaService::LearnLimits(std::string_view member,
                               const std::vector<QuotaNeed>& needs,
                               Time now) {
  const std::vector<std::string_view> learned = quotas_.LearnLimits(needs, now);
  if (learned.empty()) {
    return;
  }
  init_.metrics->Add(limits_learned_, learned.size());
  Log(LogLevel::kInfo, "quota",
      "A peer has a newer configuration with other limits of groups.",
      {{"peer", member},
       {"groups", learned.size()},
       {"first", learned.front()}});
}

void QuotaService::OnLoans(std::string_view member,
                           const std::vector<QuotaLoan>& loans) {
  const Time now = SteadyNow();
  quotas_.OnLoans(member, loans, now);
  SettleWaiters(now);
  SendNeeds(now);
}

QuotaPartGrant QuotaService::OnPartRequest(std::string_view member,
                                           const QuotaPartRequest& request) {
  const Time now = SteadyNow();
  UpdateMembers(now);
  QuotaPartGrant grant = quotas_.OnPartRequest(member, request, now);
  SendPartMessages(now);
  return grant;
}

void QuotaService::OnPartGrant(std::string_view member,
                               const QuotaPartGrant& grant) {
  const Time now = SteadyNow();
  quotas_.OnPartGrant(member, grant, now);
  SendPartMessages(now);
}

void QuotaService::OnPartChanged(std::string_view member) {
  quotas_.OnPartChanged(member);
  SendPartMessages(SteadyNow());
}

void QuotaService::OnMemberLost(std::string_view member, bool silent) {
  const Time now = SteadyNow();
  quotas_.OnMemberLost(member, silent, now);
  UpdateMembers(now);
  SettleWaiters(now);
  SendNeeds(now);
}

void QuotaService::Tick(Time now) {
  if (!quotas_.active()) {
    return;
  }
  if (auto incoming = init_.incoming_members(); incoming != incoming_members_) {
    incoming_members_ = std::move(incoming);
    members_revision_ = 0;  // Of no registry.
  }
  UpdateMembers(now);
  for (const std::string& member : quotas_.Tick(now)) {
    init_.on_unanswered(member);
  }
  if (joined_owners_ != quotas_.joins_owners() ||
      owned_parts_ != quotas_.may_own_parts() ||
      asked_members_ != quotas_.asked_members()) {
    joined_owners_ = quotas_.joins_owners();
    owned_parts_ = quotas_.may_own_parts();
    asked_members_ = quotas_.asked_members();
    init_.on_ownership();
    members_revision_ = 0;  // This node counts as an owner, or no more.
  }
  SettleWaiters(now);
  SendNeeds(now);
  SendPartMessages(now);
  init_.metrics->Set(tokens_held_,
                     static_cast<double>(quotas_.borrower().tokens_held()));
  init_.metrics->Set(coordinated_,
                     static_cast<double>(quotas_.coordinator().groups()));
  init_.metrics->Set(may_own_parts_, quotas_.may_own_parts() ? 1 : 0);
  init_.metrics->Set(parts_held_,
                     static_cast<double>(quotas_.part_holder().held(now)));
}

void QuotaService::UpdateMembers(Time now) {
  const std::uint64_t revision = init_.member_registry->revision();
  const QuotaStanding standing = init_.standing();
  if ((revision == members_revision_ && standing == standing_) ||
      !quotas_.active()) {
    return;
  }
  members_revision_ = revision;
  standing_ = standing;
  quotas_.SetStanding(standing);
  QuotaMembers members = QuotaMembersOf(*init_.member_registry, init_.node_name,
                                        incoming_members_);
  members.owners.merge(init_.join_requests());
  members.confirmed_by = init_.confirmed_by();
  quotas_.SetMembers(std::move(members), now);
  SendPartMessages(now);
}

void QuotaService::SendNeeds(Time now) {
  for (auto& [member, needs] : quotas_.TakeNeeds(now)) {
    init_.metrics->Add(needs_sent_, needs.size());
    if (!init_.send(member, {0, LinkQuotaNeeds{std::move(needs)}})) {
      quotas_.OnNotSent(member, now);
    }
  }
}

void QuotaService::SendPartMessages(Time now) {
  for (const std::string& member : quotas_.TakePartsChanged(now)) {
    // One that has no link is told with its next request.
    init_.send(member, {0, LinkQuotaPartChanged{}});
  }
  for (const auto& [member, request] : quotas_.TakePartRequests(now)) {
    init_.metrics->Add(part_requests_sent_);
    if (!init_.send(member, {0, LinkQuotaPartRequest{request}})) {
      quotas_.OnPartRequestNotSent(member);
    }
  }
}

void QuotaService::SettleWaiters(Time now) {
  std::vector<std::pair<Callback, QuotaVerdict>> settled;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    const Waiter& waiter = it->second;
    const QuotaVerdict verdict =
        quotas_.Settle(waiter.group, waiter.until, now);
    if (verdict.decision == QuotaDecision::kWait) {
      ++it;
      continue;
    }
    Count(verdict);
    settled.emplace_back(std::move(it->second.callback), verdict);
    it = waiters_.erase(it);
  }
  for (const auto& [callback, verdict] : settled) {
    callback(verdict);
  }
}

// One line a group and second.
void QuotaService::LogRefusal(const Group& group,
                              std::string_view request,
                              const QuotaVerdict& verdict) {
  const Time now = SteadyNow();
  const auto last = last_logged_.find(group.name);
  if (last != last_logged_.end() && now - last->second < kLogInterval) {
    return;
  }
  last_logged_.insert_or_assign(group.name, now);
  Log(verdict.decision == QuotaDecision::kUnknown ? LogLevel::kWarning
                                                  : LogLevel::kInfo,
      "quota",
      verdict.decision == QuotaDecision::kUnknown
          ? "The coordinator of the quota does not answer."
          : "Refused a request beyond its group's quota.",
      {{"request", request},
       {"group", group.name},
       {"rate", group.requests.per_second},
       {"burst", group.requests.burst},
       {"demand_here", verdict.demand},
       {"held", verdict.held},
       {"coordinator", verdict.coordinator},
       {"loan_age_ms", ToMilliseconds(verdict.loan_age)},
       {"retry_after_ms", ToMilliseconds(verdict.retry_after)}});
}

void QuotaService::Count(const QuotaVerdict& verdict) {
  switch (verdict.decision) {
    case QuotaDecision::kAdmit:
      init_.metrics->Add(verdict.used_spare ? admitted_spare_ : admitted_);
      break;
    case QuotaDecision::kRefuse:
      init_.metrics->Add(refused_);
      break;
    case QuotaDecision::kUnknown:
      init_.metrics->Add(unknown_);
      break;
    case QuotaDecision::kWait:
      break;
  }
}

}  // namespace verbenastile
