#include "core/rollout_evidence.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Bounds the reports of a node. With more rules and instances than this, the
// calls of the others are not counted.
constexpr std::size_t kMaxKeys = 256;
constexpr std::size_t kMaxPooledKeys = 4'096;

OutcomeCounts FromMessage(const VersionOutcomes& message) {
  OutcomeCounts counts;
  counts.responses = message.responses;
  counts.failures = message.failures;
  const std::size_t size = std::min(message.times.size(), kTimeBuckets);
  std::copy_n(message.times.begin(), size, counts.times.begin());
  return counts;
}

// Whether a node may count `now` after it counted `before`.
bool Follows(const OutcomeCounts& now, const OutcomeCounts& before) {
  std::uint64_t answers = 0;
  for (std::size_t i = 0; i < now.times.size(); ++i) {
    if (now.times[i] < before.times[i]) {
      return false;
    }
    answers += now.times[i];
  }
  return now.failures >= before.failures && now.failures <= now.responses &&
         answers == now.responses - now.failures;
}

}  // namespace

void OutcomeCounts::Add(const OutcomeCounts& other) {
  responses += other.responses;
  failures += other.failures;
  for (std::size_t i = 0; i < times.size(); ++i) {
    times[i] += other.times[i];
  }
}

void OutcomeCounts::Subtract(const OutcomeCounts& other) {
  responses -= other.responses;
  failures -= other.failures;
  for (std::size_t i = 0; i < times.size(); ++i) {
    times[i] -= other.times[i];
  }
}

VersionOutcomes ToMessage(const OutcomeKey& key, const OutcomeCounts& counts) {
  VersionOutcomes message{key.rule,
                          key.instance,
                          key.full,
                          key.outside,
                          counts.responses,
                          counts.failures,
                          {counts.times.begin(), counts.times.end()}};
  while (!message.times.empty() && message.times.back() == 0) {
    message.times.pop_back();
  }
  return message;
}

OwnOutcomes::Entry* OwnOutcomes::Find(const OutcomeKey& key) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    return &found->second;
  }
  return entries_.size() < kMaxKeys ? &entries_[key] : nullptr;
}

void OwnOutcomes::AddAnswer(const OutcomeKey& key, Duration service_time) {
  if (Entry* entry = Find(key)) {
    ++entry->counts.responses;
    ++entry->counts.times[TimeBucketOf(service_time)];
    entry->changed = true;
  }
}

void OwnOutcomes::AddFailure(const OutcomeKey& key) {
  if (Entry* entry = Find(key)) {
    ++entry->counts.responses;
    ++entry->counts.failures;
    entry->changed = true;
  }
}

std::vector<VersionOutcomes> OwnOutcomes::TakeReport(bool all) {
  std::vector<VersionOutcomes> report;
  for (auto& [key, entry] : entries_) {
    if (std::exchange(entry.changed, false) || all) {
      report.push_back(ToMessage(key, entry.counts));
    }
  }
  return report;
}

void EvidencePool::Merge(const RolloutReport& report) {
  OutcomeTable& known = by_node_[{report.node, report.incarnation}];
  for (const VersionOutcomes& message : report.outcomes) {
    const OutcomeKey key{message.rule, message.instance, message.full,
                         message.outside};
    if (!totals_.contains(key) && totals_.size() >= kMaxPooledKeys) {
      continue;
    }
    OutcomeCounts& before = known[key];
    if (message.responses <= before.responses) {
      continue;  // As old as what is known, or older.
    }
    const OutcomeCounts counts = FromMessage(message);
    if (!Follows(counts, before)) {
      continue;
    }
    OutcomeCounts& total = totals_[key];
    total.Subtract(before);
    total.Add(counts);
    before = counts;
  }
}

}  // namespace verbenastile
