#include "core/quota_borrower.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/quota_coordinator.h"

namespace verbenastile {
namespace {

// Requests are counted with this time constant.
constexpr double kDemandSeconds = 2;
// Tokens are asked for when those held last for less than this: a message and
// its answer, with the waits for the processor at both ends.
constexpr double kLeadSeconds = 0.15;
constexpr double kMinDemandAhead = 1;
// A coordinator that does not answer for this long is taken as silent.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
// Spare tokens are used for this long after the last loan.
constexpr Duration kSpareLifetime = kQuotaTokenLifetime;
// Tokens that no request has used for this long are returned.
constexpr Duration kIdlePeriod = std::chrono::milliseconds(1'500);
// A token that is given back later is lost: a window may admit what was taken
// before it and comes back within it.
constexpr Duration kMaxGivenBackAge = std::chrono::seconds(1);
constexpr Duration kForgetPeriod = std::chrono::seconds(30);
constexpr Duration kUnknownRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// When a node should ask again that asked one which is not the coordinator.
constexpr Duration kRelayPeriod = std::chrono::milliseconds(100);
constexpr double kMilli = 1'000;

}  // namespace

QuotaBorrower::State& QuotaBorrower::StateOf(std::string_view group,
                                             const RequestQuota& quota,
                                             Time now) {
  auto found = groups_.find(group);
  if (found == groups_.end()) {
    found = groups_.emplace(std::string(group), State{}).first;
    found->second.quota = quota;
    found->second.coordinator = std::string(peers_->CoordinatorOf(group));
    found->second.last_request = now;
  }
  State& state = found->second;
  if (state.quota != quota) {
    if (quota.per_second < state.quota.per_second) {
      const double part = quota.per_second / state.quota.per_second;
      state.tokens = static_cast<std::uint32_t>(state.tokens * part);
      state.spare = static_cast<std::uint32_t>(state.spare * part);
    } else {
      state.denied_until = Time();
    }
    state.quota = quota;
  }
  if (now - state.loan_at > kQuotaTokenLifetime) {
    state.tokens = 0;
  }
  return state;
}

double QuotaBorrower::Demand(const State& state, Time now) {
  const double idle =
      std::chrono::duration<double>(now - state.last_request).count();
  return state.arrivals * std::exp(-idle / kDemandSeconds) / kDemandSeconds;
}

void QuotaBorrower::CountArrival(State& state, double count, Time now) {
  state.arrivals = Demand(state, now) * kDemandSeconds + count;
  state.last_request = now;
}

bool QuotaBorrower::TakeToken(State& state, bool* used_spare, Time now) {
  if (state.tokens > 0) {
    --state.tokens;
    AskAhead(state, now);
    return true;
  }
  const bool may_use_spare =
      state.may_use_spare && now - state.loan_at <= kSpareLifetime;
  if (!may_use_spare || state.spare == 0) {
    return false;
  }
  --state.spare;
  ++state.spare_used;
  *used_spare = true;
  state.should_ask = true;
  return true;
}

void QuotaBorrower::AskAhead(State& state, Time now) {
  const double demand = Demand(state, now);
  if (demand >= kMinDemandAhead &&
      state.tokens < std::max(1.0, demand * kLeadSeconds) &&
      now >= state.denied_until) {
    state.should_ask = true;
  }
}

QuotaVerdict QuotaBorrower::Explain(const State& state,
                                    QuotaDecision decision,
                                    Time now) {
  QuotaVerdict verdict;
  verdict.decision = decision;
  verdict.coordinator = state.coordinator;
  verdict.held = state.tokens;
  verdict.demand = Demand(state, now);
  verdict.loan_age = now - state.loan_at;
  return verdict;
}

// Requests that are refused one after the other are told to come back one after
// the other, as tokens become available.
QuotaVerdict QuotaBorrower::Refuse(State& state, Time now) {
  QuotaVerdict verdict = Explain(state, QuotaDecision::kRefuse, now);
  if (state.overloaded) {
    verdict.retry_after = kMaxRetryAfter;
    return verdict;
  }
  state.next_return = std::max(state.next_return, state.denied_until);
  verdict.retry_after = std::min(state.next_return - now, kMaxRetryAfter);
  if (state.next_return - now < kMaxRetryAfter) {
    state.next_return += state.refusal_interval;
  }
  return verdict;
}

QuotaVerdict QuotaBorrower::Request(const Group& group, Time now) {
  State& state = StateOf(group.name, group.requests, now);
  CountArrival(state, 1, now);
  bool used_spare = false;
  if (TakeToken(state, &used_spare, now)) {
    asks_ = asks_ || state.should_ask;
    QuotaVerdict verdict = Explain(state, QuotaDecision::kAdmit, now);
    verdict.used_spare = used_spare;
    return verdict;
  }
  if (now < state.denied_until) {
    return Refuse(state, now);
  }
  ++state.waiting;
  Ask(state);
  return Explain(state, QuotaDecision::kWait, now);
}

QuotaVerdict QuotaBorrower::Settle(std::string_view group,
                                   Time until,
                                   Time now) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return {};
  }
  State& state = found->second;
  bool used_spare = false;
  QuotaVerdict verdict;
  if (TakeToken(state, &used_spare, now)) {
    asks_ = asks_ || state.should_ask;
    verdict = Explain(state, QuotaDecision::kAdmit, now);
    verdict.used_spare = used_spare;
  } else if (now < state.denied_until) {
    verdict = Refuse(state, now);
  } else if (now >= until) {
    verdict = Explain(state, QuotaDecision::kUnknown, now);
    verdict.retry_after = kUnknownRetryAfter;
  } else {
    return Explain(state, QuotaDecision::kWait, now);
  }
  StopWaiting(group);
  return verdict;
}

void QuotaBorrower::StopWaiting(std::string_view group) {
  const auto found = groups_.find(group);
  if (found != groups_.end() && found->second.waiting > 0) {
    --found->second.waiting;
  }
}

void QuotaBorrower::GiveBack(std::string_view group, Duration age) {
  const auto found = groups_.find(group);
  if (found != groups_.end() && age <= kMaxGivenBackAge) {
    ++found->second.returned;
    Ask(found->second);
  }
}

QuotaLoan QuotaBorrower::Relay(const QuotaNeed& need,
                               const RequestQuota& quota,
                               Time now) {
  State& state = StateOf(need.group, quota, now);
  CountArrival(state, need.waiting, now);
  state.spare_used += need.spare_used;
  QuotaLoan loan;
  loan.group = need.group;
  loan.tokens = std::min(need.waiting, state.tokens);
  state.tokens -= loan.tokens;
  if (loan.tokens < need.waiting) {
    const bool denied = now < state.denied_until;
    loan.next_token_in = denied ? state.denied_until - now : kRelayPeriod;
    loan.provisional = !denied;
    if (!denied) {
      Ask(state);
    }
  }
  return loan;
}

void QuotaBorrower::HandOver(std::string_view group,
                             const RequestQuota& quota,
                             std::uint32_t tokens,
                             std::uint32_t debt,
                             Time now) {
  State& state = StateOf(group, quota, now);
  state.returned += tokens;
  state.spare_used += debt;
  Ask(state);
}

void QuotaBorrower::Ask(State& state) {
  if (!state.asked_at) {
    state.should_ask = true;
    asks_ = true;
  }
}

std::optional<QuotaNeed> QuotaBorrower::TakeNeed(std::string_view group,
                                                 State& state,
                                                 Time now) {
  if (!std::exchange(state.should_ask, false) || state.asked_at) {
    return std::nullopt;
  }
  QuotaNeed need;
  need.group = std::string(group);
  need.waiting = state.waiting;
  need.held = state.tokens;
  need.returned = std::exchange(state.returned, 0);
  need.spare_used = std::exchange(state.spare_used, 0);
  need.demand_milli = static_cast<std::uint32_t>(Demand(state, now) * kMilli);
  state.asked_at = now;
  return need;
}

std::optional<QuotaNeed> QuotaBorrower::TakeNeed(std::string_view group,
                                                 Time now) {
  const auto found = groups_.find(group);
  return found == groups_.end() ? std::nullopt
                                : TakeNeed(group, found->second, now);
}

std::vector<QuotaNeed> QuotaBorrower::TakeNeeds(Time now) {
  std::vector<QuotaNeed> needs;
  if (!std::exchange(asks_, false)) {
    return needs;
  }
  for (auto& [name, state] : groups_) {
    if (auto need = TakeNeed(name, state, now)) {
      needs.push_back(std::move(*need));
    }
  }
  return needs;
}

void QuotaBorrower::OnLoan(std::string_view member,
                           const QuotaLoan& loan,
                           Time now) {
  const auto found = groups_.find(loan.group);
  if (found == groups_.end()) {
    return;
  }
  State& state = found->second;
  state.tokens += loan.tokens;
  state.loan_at = now;
  if (state.coordinator != member) {
    return;  // Of the coordinator before; its tokens hold.
  }
  state.asked_at.reset();
  if (loan.provisional) {
    state.may_use_spare = true;
    return;
  }
  state.may_use_spare = false;
  state.spare = loan.spare;
  if (loan.next_token_in > Duration::zero()) {
    state.denied_until = now + loan.next_token_in;
    state.overloaded = loan.overloaded;
    state.refusal_interval =
        loan.next_token_in / std::max<std::int64_t>(loan.tokens, 1);
  } else if (state.waiting > state.tokens) {
    Ask(state);  // Requests that arrived after the need was sent.
  }
}

void QuotaBorrower::OnCoordinatorsChanged(Time now) {
  for (auto& [name, state] : groups_) {
    const std::string_view coordinator = peers_->CoordinatorOf(name);
    if (coordinator == state.coordinator) {
      continue;
    }
    state.coordinator = std::string(coordinator);
    state.asked_at.reset();
    state.denied_until = Time();
    state.may_use_spare = true;
    if (state.waiting > 0 || Demand(state, now) >= kMinDemandAhead) {
      Ask(state);
    }
  }
}

void QuotaBorrower::OnMemberLost(std::string_view member,
                                 bool silent,
                                 Time now) {
  for (auto& [name, state] : groups_) {
    if (state.coordinator != member) {
      continue;
    }
    state.asked_at.reset();
    state.may_use_spare = true;
    if (silent) {
      // The coordinator counts all spare tokens as used.
      state.spare_used = 0;
    }
    if (state.waiting > 0 && now >= state.denied_until) {
      Ask(state);
    }
  }
}

std::set<std::string> QuotaBorrower::Tick(Time now) {
  std::set<std::string> silent;
  for (auto& [name, state] : groups_) {
    if (state.asked_at && now - *state.asked_at >= kAnswerTimeout) {
      state.asked_at.reset();
      state.may_use_spare = true;
      silent.insert(state.coordinator);
    }
    if (state.waiting > 0 && now >= state.denied_until) {
      Ask(state);
    }
    if (state.tokens > 0 && now - state.last_request >= kIdlePeriod &&
        !state.asked_at) {
      state.returned += std::exchange(state.tokens, 0);
      state.arrivals = 0;
      Ask(state);
    }
  }
  std::erase_if(groups_, [&](const auto& entry) {
    return entry.second.waiting == 0 &&
           now - entry.second.last_request > kForgetPeriod;
  });
  return silent;
}

std::uint64_t QuotaBorrower::tokens_held() const {
  std::uint64_t held = 0;
  for (const auto& [name, state] : groups_) {
    held += state.tokens;
  }
  return held;
}

}  // namespace verbenastile
