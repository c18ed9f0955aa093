#include "core/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

namespace verbenastile {
namespace {

// A fault is assumed beyond this many standard deviations: the test is repeated
// several times a second, for each rule.
constexpr double kDeviations = 5;
// Not enough to return from the version at once, but nothing to move to.
constexpr double kSuspiciousDeviations = 3;
// A difference that is smaller does not matter to callers.
constexpr double kMinFailureExcess = 0.02;
constexpr double kMinSlowExcess = 0.05;
constexpr std::uint64_t kMinBad = 3;
// From here on the bad answers need not show a second time.
constexpr std::uint64_t kManyBad = 20;
constexpr Duration kConfirmAfter = std::chrono::milliseconds(2'500);
constexpr std::uint64_t kConfirmBad = 2;
// A single instance of several is believed from here on. The bound on the calls
// to a bad version begins at 50 bad answers.
constexpr std::uint64_t kManyBadOfOne = 40;
// With so many answers of old instances in the windows of exposed calls, the
// others are not needed: they were given in other seconds.
constexpr std::uint64_t kEnoughInside = 100;
// Of the answers of old instances, for a median.
constexpr std::uint64_t kMinReference = 20;
// Slow answers take 2.8 times the lower end of the median's bucket, or four
// times where the old version was not seen at the same load.
constexpr std::size_t kSlowBuckets = 3;
constexpr std::size_t kOtherLoadBuckets = 1;

constexpr std::uint64_t kMinResponses = 40;
constexpr std::uint64_t kMinResponsesAtLast = 20;
constexpr std::uint64_t kMinRuleResponses = 8;
// Rules with a smaller part of the calls need not be seen.
constexpr std::uint64_t kSmallRuleDivisor = 20;
// So many answers of instances that are not left out are needed to tell the
// version's faults from an instance's.
constexpr std::uint64_t kMinCorroboration = 8;
// Between two and three windows of exposed calls are looked at by themselves.
constexpr Duration kSnapshotInterval = std::chrono::seconds(3);
constexpr std::size_t kSnapshots = 3;
// One part in this many of the target's instances is left out.
constexpr std::size_t kLeftOutDivisor = 4;

constexpr Duration kMinMargin = std::chrono::seconds(4);
constexpr Duration kMaxMargin = std::chrono::seconds(15);

// Counts of one kind of bad answer at one target instance.
struct Tally {
  std::uint64_t compared = 0;
  std::uint64_t bad = 0;
  double expected = 0;

  void Add(const Tally& other) {
    compared += other.compared;
    bad += other.bad;
    expected += other.expected;
  }
  double excess() const { return static_cast<double>(bad) - expected; }
};

using TalliesByInstance = std::map<std::string, Tally>;

struct RuleOutcomes {
  // By whether the instance was full.
  std::array<OutcomeCounts, 2> old_counts;
  std::array<OutcomeCounts, 2> old_outside;
  std::map<std::string, std::array<OutcomeCounts, 2>> targets;
  std::uint64_t old_responses = 0;
  std::uint64_t target_responses = 0;
};

// An upper bound of the rate at which old instances give bad answers.
double UpperRate(std::uint64_t bad, std::uint64_t responses) {
  const double seen = static_cast<double>(bad) + 1;
  return std::min(
      1.0, (seen + 2 * std::sqrt(seen)) / static_cast<double>(responses + 1));
}

std::uint64_t Answers(const OutcomeCounts& counts) {
  return counts.responses - counts.failures;
}

std::uint64_t SlowerThan(const OutcomeCounts& counts, std::size_t bucket) {
  const std::size_t first = std::min(bucket, counts.times.size());
  return std::accumulate(counts.times.begin() + static_cast<long>(first),
                         counts.times.end(), std::uint64_t{0});
}

std::size_t MedianBucket(const OutcomeCounts& counts) {
  const std::uint64_t half = (Answers(counts) + 1) / 2;
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < counts.times.size(); ++i) {
    seen += counts.times[i];
    if (seen >= half) {
      return i;
    }
  }
  return counts.times.size() - 1;
}

struct SlowLimit {
  std::size_t bucket = 0;  // Answers in it and beyond are slow.
  double rate = 0;         // Of such answers at old instances.
};

// Empty when the old instances have answered too little to tell.
std::optional<SlowLimit> SlowLimitOf(const RuleOutcomes& outcomes, bool full) {
  const auto index = static_cast<std::size_t>(full);
  const bool same_load = Answers(outcomes.old_counts[index]) >= kMinReference;
  const OutcomeCounts& reference =
      outcomes.old_counts[same_load ? index : 1 - index];
  if (Answers(reference) < kMinReference) {
    return std::nullopt;
  }
  SlowLimit limit;
  limit.bucket = MedianBucket(reference) + kSlowBuckets +
                 (same_load ? 0 : kOtherLoadBuckets);
  limit.rate =
      UpperRate(SlowerThan(reference, limit.bucket), Answers(reference));
  return limit;
}

TalliesByInstance CountFailures(const RuleOutcomes& outcomes) {
  TalliesByInstance tallies;
  OutcomeCounts old = outcomes.old_counts[0];
  old.Add(outcomes.old_counts[1]);
  const double rate = UpperRate(old.failures, old.responses);
  for (const auto& [instance, counts] : outcomes.targets) {
    const std::uint64_t responses = counts[0].responses + counts[1].responses;
    tallies[instance] = {responses, counts[0].failures + counts[1].failures,
                         rate * static_cast<double>(responses)};
  }
  return tallies;
}

TalliesByInstance CountSlow(const RuleOutcomes& outcomes) {
  TalliesByInstance tallies;
  for (const bool full : {false, true}) {
    const auto limit = SlowLimitOf(outcomes, full);
    if (!limit) {
      continue;
    }
    for (const auto& [instance, counts] : outcomes.targets) {
      const OutcomeCounts& seen = counts[static_cast<std::size_t>(full)];
      const std::uint64_t answers = Answers(seen);
      tallies[instance].Add({answers, SlowerThan(seen, limit->bucket),
                             limit->rate * static_cast<double>(answers)});
    }
  }
  return tallies;
}

struct Comparison {
  Tally sum;  // Without the instances that are left out.
  // Enough answers of other instances remain to blame the version.
  bool corroborated = false;
};

// `instances`: how many of the target version accept calls.
Comparison Compare(const TalliesByInstance& tallies, std::size_t instances) {
  std::vector<Tally> worst_first;
  for (const auto& [instance, tally] : tallies) {
    if (tally.compared > 0) {
      worst_first.push_back(tally);
    }
  }
  std::sort(
      worst_first.begin(), worst_first.end(),
      [](const Tally& a, const Tally& b) { return a.excess() > b.excess(); });
  Comparison comparison;
  const std::size_t left_out =
      worst_first.size() < 2
          ? 0
          : std::max<std::size_t>(1, worst_first.size() / kLeftOutDivisor);
  for (std::size_t i = left_out; i < worst_first.size(); ++i) {
    comparison.sum.Add(worst_first[i]);
  }
  comparison.corroborated =
      instances < 2 ||
      (left_out > 0 && comparison.sum.compared >= kMinCorroboration);
  if (!comparison.corroborated) {
    for (std::size_t i = 0; i < left_out; ++i) {
      comparison.sum.Add(worst_first[i]);
    }
    comparison.corroborated = comparison.sum.bad >= kManyBadOfOne;
  }
  return comparison;
}

bool IsExcessive(const Tally& sum, double deviations, double min_excess) {
  return sum.bad >= kMinBad &&
         sum.excess() > deviations * std::sqrt(sum.expected + 1) &&
         sum.excess() >= min_excess * static_cast<double>(sum.compared);
}

class Findings {
 public:
  explicit Findings(std::size_t instances) : instances_(instances) {}

  void Add(std::string_view rule, bool slow, const TalliesByInstance& tallies) {
    const Comparison comparison = Compare(tallies, instances_);
    const Tally& sum = comparison.sum;
    const double min_excess = slow ? kMinSlowExcess : kMinFailureExcess;
    if (!IsExcessive(sum, kSuspiciousDeviations, min_excess)) {
      return;
    }
    const RolloutOpinion opinion =
        IsExcessive(sum, kDeviations, min_excess) && comparison.corroborated
            ? RolloutOpinion::kBad
            : RolloutOpinion::kSuspicious;
    const double excess = static_cast<double>(finding_.bad) - finding_.expected;
    if (opinion > finding_.opinion ||
        (opinion == finding_.opinion && sum.excess() > excess)) {
      finding_.opinion = opinion;
      finding_.rule = rule;
      finding_.slow = slow;
      finding_.bad = sum.bad;
      finding_.compared = sum.compared;
      finding_.expected = sum.expected;
    }
  }

  RolloutFinding& finding() { return finding_; }

 private:
  RolloutFinding finding_;
  std::size_t instances_;
};

std::map<std::string, RuleOutcomes> GroupByRule(const OutcomeTable& totals) {
  std::map<std::string, RuleOutcomes> rules;
  for (const auto& [key, counts] : totals) {
    RuleOutcomes& rule = rules[key.rule];
    const auto index = static_cast<std::size_t>(key.full);
    if (key.instance.empty()) {
      auto& old = key.outside ? rule.old_outside : rule.old_counts;
      old[index].Add(counts);
      rule.old_responses += counts.responses;
    } else {
      rule.targets[key.instance][index].Add(counts);
      rule.target_responses += counts.responses;
    }
  }
  for (auto& [name, rule] : rules) {
    const std::uint64_t inside =
        rule.old_counts[0].responses + rule.old_counts[1].responses;
    if (inside < kEnoughInside) {
      rule.old_counts[0].Add(rule.old_outside[0]);
      rule.old_counts[1].Add(rule.old_outside[1]);
    }
  }
  return rules;
}

// What was added to the counts since.
OutcomeTable Since(const OutcomeTable& before, const OutcomeTable& totals) {
  OutcomeTable added = totals;
  for (auto& [key, counts] : added) {
    const auto found = before.find(key);
    if (found != before.end()) {
      counts.Subtract(found->second);
    }
  }
  return added;
}

// Compares by rule and over all rules.
RolloutFinding CompareVersions(const std::map<std::string, RuleOutcomes>& rules,
                               std::size_t instances) {
  Findings findings(instances);
  RolloutFinding& finding = findings.finding();
  TalliesByInstance failures;
  TalliesByInstance slow;
  for (const auto& [name, outcomes] : rules) {
    finding.target_responses += outcomes.target_responses;
    finding.old_responses += outcomes.old_responses;
    const TalliesByInstance rule_failures = CountFailures(outcomes);
    const TalliesByInstance rule_slow = CountSlow(outcomes);
    findings.Add(name, false, rule_failures);
    findings.Add(name, true, rule_slow);
    for (const auto& [instance, tally] : rule_failures) {
      failures[instance].Add(tally);
    }
    for (const auto& [instance, tally] : rule_slow) {
      slow[instance].Add(tally);
    }
  }
  findings.Add({}, false, failures);
  findings.Add({}, true, slow);
  return finding;
}

}  // namespace

std::string_view ToString(RolloutOpinion opinion) {
  switch (opinion) {
    case RolloutOpinion::kThin:
      return "thin";
    case RolloutOpinion::kSound:
      return "sound";
    case RolloutOpinion::kSuspicious:
      return "suspicious";
    case RolloutOpinion::kBad:
      return "bad";
  }
  return "unknown";
}

RolloutFinding RolloutJudge::Evaluate(const OutcomeTable& totals,
                                      std::size_t instances,
                                      Time now) {
  const auto rules = GroupByRule(totals);
  RolloutFinding finding = CompareVersions(rules, instances);
  if (!snapshots_.empty()) {
    RolloutFinding recent = CompareVersions(
        GroupByRule(Since(snapshots_.front().totals, totals)), instances);
    if (recent.opinion > finding.opinion) {
      recent.target_responses = finding.target_responses;
      recent.old_responses = finding.old_responses;
      finding = std::move(recent);
    }
  }
  TakeSnapshot(totals, now);
  if (finding.opinion == RolloutOpinion::kBad && finding.bad < kManyBad) {
    if (!suspicious_since_) {
      suspicious_since_ = now;
      suspicious_bad_ = finding.bad;
    }
    if (now - *suspicious_since_ < kConfirmAfter ||
        finding.bad < suspicious_bad_ + kConfirmBad) {
      finding.opinion = RolloutOpinion::kSuspicious;
    }
    return finding;
  }
  suspicious_since_.reset();
  if (finding.opinion == RolloutOpinion::kThin) {
    const bool all_seen =
        std::all_of(rules.begin(), rules.end(), [&](const auto& rule) {
          return rule.second.old_responses * kSmallRuleDivisor <
                     finding.old_responses ||
                 rule.second.target_responses >= kMinRuleResponses;
        });
    if (all_seen && finding.target_responses >= kMinResponses) {
      finding.opinion = RolloutOpinion::kSound;
    }
  }
  return finding;
}

void RolloutJudge::TakeSnapshot(const OutcomeTable& totals, Time now) {
  if (!snapshots_.empty() &&
      now - snapshots_.back().taken < kSnapshotInterval) {
    return;
  }
  snapshots_.push_back({now, totals});
  if (snapshots_.size() > kSnapshots) {
    snapshots_.pop_front();
  }
}

Duration RolloutMargin(Duration duration) {
  return std::clamp(duration / 4, kMinMargin, kMaxMargin);
}

std::optional<RolloutState> DecideRollout(const RolloutFinding& finding,
                                          Duration duration,
                                          Duration remaining) {
  if (finding.opinion == RolloutOpinion::kBad) {
    return RolloutState::kRolledBack;
  }
  const Duration margin = RolloutMargin(duration);
  if (remaining > margin) {
    return std::nullopt;
  }
  if (finding.opinion == RolloutOpinion::kSound) {
    return RolloutState::kCompleted;
  }
  if (remaining > margin * 3 / 5) {
    return std::nullopt;
  }
  const bool usable = finding.opinion == RolloutOpinion::kThin &&
                      finding.target_responses >= kMinResponsesAtLast;
  return usable ? RolloutState::kCompleted : RolloutState::kRolledBack;
}

}  // namespace verbenastile
