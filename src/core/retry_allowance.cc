#include "core/retry_allowance.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::uint64_t kPermille = 1'000;
// A rule that fails alone finds half of the budget at once, since another may
// begin to fail a moment later.
constexpr std::size_t kLeastClaimants = 2;
// What a rule is expected to want in all, as a multiple of what it wanted so
// far: a fault of some seconds has just begun.
constexpr std::uint64_t kExpectedOfWanted = 4;

}  // namespace

RetryAllowance::RetryAllowance(const RetryAllowanceLimits& limits, Time start)
    : limits_(limits), start_(start) {}

RetryAllowance::Budget& RetryAllowance::BudgetOf(std::string_view service) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, Budget{}).first;
  }
  return found->second;
}

std::int64_t RetryAllowance::NumberAt(Time now) const {
  return now.time_since_epoch() / (limits_.window / kParts);
}

RetryAllowance::Part& RetryAllowance::PartAt(Parts& parts,
                                             std::int64_t number) {
  Part& part = parts[static_cast<std::size_t>(number) % (kParts + 1)];
  if (part.number != number) {
    part = Part{};
    part.number = number;
  }
  return part;
}

RetryAllowance::Sums RetryAllowance::SumsOf(const Parts& parts,
                                            std::int64_t number) {
  Sums sums;
  for (const Part& part : parts) {
    const std::int64_t age = number - part.number;
    if (age < 0 || age > static_cast<std::int64_t>(kParts)) {
      continue;
    }
    // The oldest part lies partly before the window: its repeats count, its
    // requests do not.
    sums.repeats += part.repeats;
    sums.beyond += part.beyond;
    sums.wanted += part.wanted;
    sums.requests +=
        age < static_cast<std::int64_t>(kParts) ? part.requests : 0;
  }
  return sums;
}

void RetryAllowance::OnRequest(std::string_view service, Time now) {
  ++PartAt(BudgetOf(service).all, NumberAt(now)).requests;
}

std::uint64_t RetryAllowance::Allowed(const Sums& all,
                                      std::size_t nodes,
                                      Time now) const {
  const bool settled = now - start_ >= limits_.window;
  const std::uint64_t fixed =
      settled ? limits_.slack * kPermille / std::max<std::size_t>(nodes, 1) : 0;
  return (all.requests * limits_.ratio_permille + fixed) *
         limits_.spent_permille / kPermille / kPermille;
}

RetryAllowance::Share RetryAllowance::ShareFor(Budget& budget,
                                               std::string_view rule,
                                               std::uint64_t allowed,
                                               std::int64_t number) {
  const std::uint64_t taken = SumsOf(budget.all, number).repeats;
  if (taken + 1 > allowed) {
    return Share::kNone;
  }
  const std::uint64_t claim =
      allowed / std::max(budget.rules.size(), kLeastClaimants);
  std::uint64_t own = 0;
  std::uint64_t of_others = 0;  // What they may still claim.
  for (const auto& [name, parts] : budget.rules) {
    const Sums sums = SumsOf(parts, number);
    if (name == rule) {
      own = sums.repeats - sums.beyond;
    } else {
      const std::uint64_t claimed =
          std::min(kExpectedOfWanted * sums.wanted, claim);
      of_others += claimed - std::min(claimed, sums.repeats);
    }
  }
  if (own + 1 <= claim) {
    return Share::kClaim;
  }
  const std::uint64_t lately =
      PartAt(budget.all, number).beyond + PartAt(budget.all, number - 1).beyond;
  const std::uint64_t of_two_parts =
      std::max<std::uint64_t>((allowed - claim) * 2 / kParts, 1);
  const bool left = taken + 1 + of_others <= allowed && lately < of_two_parts;
  return left ? Share::kBeyond : Share::kNone;
}

bool RetryAllowance::Take(std::string_view service,
                          std::string_view rule,
                          std::size_t nodes,
                          Time now) {
  Budget& budget = BudgetOf(service);
  const std::int64_t number = NumberAt(now);
  std::erase_if(budget.rules, [&](const auto& entry) {
    return SumsOf(entry.second, number).wanted == 0;
  });
  auto found = budget.rules.find(rule);
  if (found == budget.rules.end()) {
    found = budget.rules.emplace(rule, Parts{}).first;
  }
  Part& part = PartAt(found->second, number);
  ++part.wanted;
  const std::uint64_t allowed = Allowed(SumsOf(budget.all, number), nodes, now);
  const Share share = ShareFor(budget, rule, allowed, number);
  if (share == Share::kNone) {
    return false;
  }
  for (Part* counted : {&part, &PartAt(budget.all, number)}) {
    ++counted->repeats;
    counted->beyond += share == Share::kBeyond ? 1 : 0;
  }
  return true;
}

}  // namespace verbenastile
