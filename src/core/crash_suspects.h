// Finds requests that end the instances that run them, so that no node hands
// them to further instances.
//
// When an instance ends without notice, each request that ran on it becomes a
// suspect of that crash. The nodes exchange what they know of suspects. The
// evidence is merged as sets of crashes, so neither repeated nor reordered
// messages count a crash twice. A complete response clears its request of all
// earlier evidence: what ends instances does not get one.
//
// A request with one crash runs as any other. With two it is on trial: only one
// node, `TrialMember`, may pass it to its instance, one such request at a time.
// Its completion clears it; the end of the instance convicts it. Crashes alone
// block nothing, however many: a request that many callers send may have run on
// all instances of a failure domain that lost power.
#ifndef CORE_CRASH_SUSPECTS_H_
#define CORE_CRASH_SUSPECTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/digest.h"
#include "core/member_directory.h"

namespace verbenastile {

// A request that an instance ran when it ended.
struct CrashedCall {
  Digest request;  // Of its content.
  bool on_trial = false;
};

// Identifies the unexpected end of an instance.
struct CrashId {
  std::string node;          // The node beside the instance.
  std::uint64_t number = 0;  // Random, since a restarted node cannot count on.

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const CrashId&) const = default;
};

// What is known against a request. Of two, the one with more clearances holds;
// with equally many, the crashes of both count.
struct CrashEvidence {
  Digest request;                // Of its content.
  std::uint64_t clearances = 0;  // Complete responses that cleared it.
  bool convicted = false;  // An instance ended while it was on trial there.
  // In which it ran since the last clearance. Sorted, without repeats.
  std::vector<CrashId> crashes;

  bool operator==(const CrashEvidence&) const = default;
};

struct MergeResult {
  bool added = false;  // The evidence contained something new.
  // It lacked something that is known here: a clearance or a crash.
  bool sender_is_behind = false;
};

enum class SuspectVerdict : std::uint8_t {
  kUnsuspected = 0,
  kSuspect,  // Runs as any other request.
  kOnTrial,  // Runs only at its trial member, one call at a time.
  kBlocked,  // Not run.
};

// The lower-case name of `verdict`.
std::string_view ToString(SuspectVerdict verdict);

class CrashSuspects {
 public:
  // Crashes after which a request is on trial, and after which it is blocked if
  // it is convicted.
  static constexpr std::size_t kCrashesToTrial = 2;
  static constexpr std::size_t kCrashesToBlock = 3;
  // Bounds of what is kept and of what a new peer is told. The suspect with the
  // fewest crashes is dropped first, of several the one heard of the longest
  // ago.
  static constexpr std::size_t kMaxSuspects = 1'024;
  static constexpr std::size_t kMaxShared = 64;
  // Crashes of one request that are kept; more add nothing.
  static constexpr std::size_t kMaxCrashesKept = 32;

  // The requests `running` were on an instance when it ended. Returns the
  // evidence that peers should hear.
  std::vector<CrashEvidence> OnCrash(const CrashId& crash,
                                     std::span<const CrashedCall> running,
                                     Time now);
  // Adds the evidence of a peer. A peer that is behind should hear what is
  // `Known`: others may have it from this node only.
  MergeResult Merge(const CrashEvidence& evidence, Time now);
  // What is known of the request, also if it was cleared.
  std::optional<CrashEvidence> Known(const Digest& request) const;
  // The request got a complete response. Returns what peers should hear; empty
  // if it was not suspected.
  std::optional<CrashEvidence> OnCompleted(const Digest& request, Time now);

  // An operator clears or convicts the request. Returns what peers should hear.
  CrashEvidence Clear(const Digest& request, Time now);
  CrashEvidence Convict(const Digest& request, Time now);

  SuspectVerdict Judge(const Digest& request) const;
  // The crashes that count against the request.
  std::span<const CrashId> CrashesOf(const Digest& request) const;

  // What a node that was just started should hear: the requests that are on
  // trial or blocked, those with the most crashes first.
  std::vector<CrashEvidence> Shared() const;
  // The part of it that `node` has seen itself.
  std::vector<CrashEvidence> SeenBy(std::string_view node) const;

  bool empty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }
  std::size_t blocked() const;

 private:
  struct Suspect {
    CrashEvidence evidence;
    Time heard_at;
  };

  MergeResult Add(const CrashEvidence& evidence, Time now);
  void EvictExcess();

  std::map<Digest, Suspect> suspects_;
};

// The member of `service` that may run the request while it is on trial, chosen
// by rendezvous hashing; null if no member serves. Nodes with the same members
// agree.
const Member* TrialMember(const MemberDirectory& directory,
                          std::string_view service,
                          const Digest& request);

}  // namespace verbenastile

#endif  // CORE_CRASH_SUSPECTS_H_
