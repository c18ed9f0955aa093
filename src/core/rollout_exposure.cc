#include "core/rollout_exposure.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/digest.h"

namespace verbenastile {
namespace {

constexpr std::uint64_t kPermille = 1'000;
// Windows start at another one of this many instances in turn, so that a single
// bad instance does not decide.
constexpr std::size_t kFirstTargets = 3;
// An instance that refused a call is passed over for about as long as a call
// runs.
constexpr Duration kFullPause = std::chrono::milliseconds(100);
// A rule may be this many exposed calls ahead of the rule with the fewest.
constexpr std::uint64_t kMaxLead = 2;
constexpr std::size_t kMaxRules = 256;

}  // namespace

bool IsExposureOpen(Duration age) {
  return age >= Duration::zero() && age % kExposurePeriod < kExposureOpen;
}

std::uint64_t ExposureBudget::Allowed() const {
  return answered_ * share_permille_ / kPermille;
}

void ExposureBudget::OnAnswered(std::string_view rule) {
  ++answered_;
  if (!sent_by_rule_.contains(rule) && sent_by_rule_.size() < kMaxRules) {
    sent_by_rule_.emplace(rule, 0);
  }
}

// What a node could not spend in a whole period is lost, so that it does not
// expose many calls at once later.
void ExposureBudget::ForfeitOld(Duration age) {
  const std::int64_t number = age / kExposurePeriod;
  if (number == current_.number) {
    return;
  }
  previous_ = number == current_.number + 1 ? current_ : Window{};
  current_ = {number, Allowed()};
  const std::uint64_t old = previous_.number < 0 ? 0 : previous_.allowed;
  forfeited_ = std::max(forfeited_, std::max(old, sent_) - sent_);
}

bool ExposureBudget::IsTurnOf(std::string_view rule, std::uint64_t left) const {
  const auto own = sent_by_rule_.find(rule);
  if (own == sent_by_rule_.end()) {
    return true;
  }
  std::uint64_t fewest = own->second;
  for (const auto& [name, sent] : sent_by_rule_) {
    fewest = std::min(fewest, sent);
  }
  return own->second < fewest + kMaxLead || left > sent_by_rule_.size();
}

bool ExposureBudget::MaySend(std::string_view rule, Duration age) {
  if (age < Duration::zero()) {
    return false;
  }
  ForfeitOld(age);
  const std::uint64_t used = sent_ + forfeited_;
  // Few or limited instances, or instances that were replaced, do not take all
  // in a window. They take the rest after it: without it a sound version that
  // hardly answered would be returned from.
  const std::uint64_t allowed =
      IsExposureOpen(age) ? Allowed() : current_.allowed;
  return used < allowed && IsTurnOf(rule, allowed - used);
}

void ExposureBudget::OnSent(std::string_view rule) {
  ++sent_;
  const auto found = sent_by_rule_.find(rule);
  if (found != sent_by_rule_.end()) {
    ++found->second;
  }
}

void ExposureBudget::OnNotReached(std::string_view rule) {
  sent_ -= sent_ > 0 ? 1 : 0;
  const auto found = sent_by_rule_.find(rule);
  if (found != sent_by_rule_.end() && found->second > 0) {
    --found->second;
  }
}

void ExposureTargets::Sync(const std::vector<std::string>& names,
                           Duration warm_up,
                           Time now) {
  std::erase_if(targets_, [&](const Target& target) {
    return std::find(names.begin(), names.end(), target.name) == names.end();
  });
  for (const std::string& name : names) {
    const bool known =
        std::any_of(targets_.begin(), targets_.end(),
                    [&](const Target& target) { return target.name == name; });
    if (!known) {
      targets_.push_back({name, DigestOf(fmt::format("{} {}", salt_, name)).low,
                          now + warm_up, now});
    }
  }
  std::sort(targets_.begin(), targets_.end(),
            [](const Target& a, const Target& b) {
              return std::pair(a.rank, a.name) < std::pair(b.rank, b.name);
            });
}

std::string_view ExposureTargets::Pick(
    Duration age,
    Time now,
    const std::function<bool(std::string_view)>& usable) {
  if (targets_.empty()) {
    return {};
  }
  const std::size_t first = static_cast<std::size_t>(age / kExposurePeriod) %
                            std::min(targets_.size(), kFirstTargets);
  turn_ = 1 - turn_;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const Target& target = targets_[(first + turn_ + i) % targets_.size()];
    if (target.warm_at <= now && target.full_until <= now &&
        usable(target.name)) {
      return target.name;
    }
  }
  return {};
}

void ExposureTargets::OnRefused(std::string_view name, Time now) {
  for (Target& target : targets_) {
    if (target.name == name) {
      target.full_until = now + kFullPause;
    }
  }
}

bool ExposureTargets::IsWarm(std::string_view name, Time now) const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [&](const Target& target) {
                       return target.name == name && target.warm_at <= now;
                     });
}

bool ExposureTargets::HasWarm(Time now) const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [&](const Target& t) { return t.warm_at <= now; });
}

}  // namespace verbenastile
