#include "core/crash_suspects.h"

#include <algorithm>

namespace verbenastile {
namespace {

// The node of the crashes that stand for an operator's decision.
constexpr std::string_view kOperator = "operator";

// Adds `added` to the sorted `ids` and keeps the lowest ones, so that the
// result does not depend on the order of additions. Returns whether `ids`
// changed.
bool Unite(std::vector<CrashId>& ids, std::span<const CrashId> added) {
  const std::vector<CrashId> before = ids;
  for (const CrashId& id : added) {
    const auto at = std::lower_bound(ids.begin(), ids.end(), id);
    if (at == ids.end() || *at != id) {
      ids.insert(at, id);
    }
  }
  ids.resize(std::min(ids.size(), CrashSuspects::kMaxCrashesKept));
  return ids != before;
}

}  // namespace

std::string_view ToString(SuspectVerdict verdict) {
  switch (verdict) {
    case SuspectVerdict::kUnsuspected:
      return "unsuspected";
    case SuspectVerdict::kSuspect:
      return "suspect";
    case SuspectVerdict::kOnTrial:
      return "on_trial";
    case SuspectVerdict::kBlocked:
      return "blocked";
  }
  return "unknown";
}

std::vector<CrashEvidence> CrashSuspects::OnCrash(
    const CrashId& crash,
    std::span<const CrashedCall> running,
    Time now) {
  std::vector<CrashEvidence> known;
  for (const CrashedCall& call : running) {
    const Suspect& suspect = suspects_[call.request];
    Add({call.request, suspect.evidence.clearances, call.on_trial, {crash}},
        now);
    known.push_back(suspect.evidence);
  }
  EvictExcess();
  return known;
}

MergeResult CrashSuspects::Merge(const CrashEvidence& evidence, Time now) {
  const MergeResult result = Add(evidence, now);
  EvictExcess();
  return result;
}

MergeResult CrashSuspects::Add(const CrashEvidence& evidence, Time now) {
  Suspect& suspect = suspects_[evidence.request];
  CrashEvidence& known = suspect.evidence;
  suspect.heard_at = now;
  known.request = evidence.request;
  if (evidence.clearances < known.clearances) {
    return {false, true};
  }
  const bool newly_cleared = evidence.clearances > known.clearances;
  if (newly_cleared) {
    known.clearances = evidence.clearances;
    known.convicted = false;
    known.crashes.clear();
  }
  const bool newly_convicted = evidence.convicted && !known.convicted;
  known.convicted = known.convicted || evidence.convicted;
  const bool added = Unite(known.crashes, evidence.crashes) || newly_cleared ||
                     newly_convicted;
  const bool sender_is_behind = known.convicted != evidence.convicted ||
                                known.crashes.size() > evidence.crashes.size();
  return {added, sender_is_behind};
}

std::optional<CrashEvidence> CrashSuspects::OnCompleted(const Digest& request,
                                                        Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.evidence.crashes.empty()) {
    return std::nullopt;
  }
  return Clear(request, now);
}

CrashEvidence CrashSuspects::Clear(const Digest& request, Time now) {
  CrashEvidence cleared{
      request, suspects_[request].evidence.clearances + 1, false, {}};
  Merge(cleared, now);
  return cleared;
}

CrashEvidence CrashSuspects::Convict(const Digest& request, Time now) {
  CrashEvidence convicted{
      request, suspects_[request].evidence.clearances, true, {}};
  for (std::size_t number = 0; number < kCrashesToBlock; ++number) {
    convicted.crashes.push_back({std::string(kOperator), number});
  }
  Merge(convicted, now);
  return convicted;
}

SuspectVerdict CrashSuspects::Judge(const Digest& request) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.evidence.crashes.empty()) {
    return SuspectVerdict::kUnsuspected;
  }
  const CrashEvidence& evidence = found->second.evidence;
  const std::size_t crashes = evidence.crashes.size();
  if (evidence.convicted && crashes >= kCrashesToBlock) {
    return SuspectVerdict::kBlocked;
  }
  return crashes >= kCrashesToTrial ? SuspectVerdict::kOnTrial
                                    : SuspectVerdict::kSuspect;
}

std::span<const CrashId> CrashSuspects::CrashesOf(const Digest& request) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return {};
  }
  return found->second.evidence.crashes;
}

std::optional<CrashEvidence> CrashSuspects::Known(const Digest& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? std::nullopt
                                  : std::optional(found->second.evidence);
}

std::vector<CrashEvidence> CrashSuspects::Shared() const {
  std::vector<CrashEvidence> shared;
  for (const auto& [request, suspect] : suspects_) {
    if (suspect.evidence.crashes.size() >= kCrashesToTrial) {
      shared.push_back(suspect.evidence);
    }
  }
  std::stable_sort(shared.begin(), shared.end(),
                   [](const CrashEvidence& a, const CrashEvidence& b) {
                     return a.crashes.size() > b.crashes.size();
                   });
  shared.resize(std::min(shared.size(), kMaxShared));
  return shared;
}

std::vector<CrashEvidence> CrashSuspects::SeenBy(std::string_view node) const {
  std::vector<CrashEvidence> seen = Shared();
  for (CrashEvidence& evidence : seen) {
    std::erase_if(evidence.crashes,
                  [&](const CrashId& crash) { return crash.node != node; });
  }
  std::erase_if(seen, [](const CrashEvidence& evidence) {
    return evidence.crashes.empty();
  });
  return seen;
}

std::size_t CrashSuspects::blocked() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
        return Judge(entry.first) == SuspectVerdict::kBlocked;
      }));
}

void CrashSuspects::EvictExcess() {
  while (suspects_.size() > kMaxSuspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          const auto rank = [](const Suspect& suspect) {
            return std::pair(suspect.evidence.crashes.size(), suspect.heard_at);
          };
          return rank(a.second) < rank(b.second);
        }));
  }
}

const Member* TrialMember(const MemberDirectory& directory,
                          std::string_view service,
                          const Digest& request) {
  const Member* best = nullptr;
  Digest best_score;
  for (const Member* member : directory.ServingMembers(service)) {
    const Digest score = DigestOf(ToString(request) + member->name);
    if (best == nullptr || score > best_score) {
      best = member;
      best_score = score;
    }
  }
  return best;
}

}  // namespace verbenastile
