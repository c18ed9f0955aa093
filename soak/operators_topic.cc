// Topic "operators": twenty operators race to change the rules through a fake
// platform with conditional updates that loses one answer in five, lets some
// writes take effect late, and has outages. The real machine of a change is
// driven; all that was accepted is replayed.
#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "core/change_quota.h"
#include "core/rule_change.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::size_t kOperators = 20;
constexpr std::size_t kRuleIds = 8;
constexpr std::uint64_t kLoseOneIn = 5;
constexpr std::uint64_t kEpochSteps = 20'000;
constexpr std::size_t kMaxHeadJsonBytes = 262'144;
constexpr std::uint32_t kFloodQuota = 20;
constexpr UnixSeconds kStart = 1'800'000'000;
constexpr const char* kFloodGroup = "flood";

using Outcome = ReportChange::Outcome;

// The head as a conditional update sees it.
struct FakePlatform {
  std::uint64_t version = 0;  // 0: there is no head.
  RulesHead head;
  std::map<std::string, RulesChunk> chunks;
  std::map<std::string, AuditPage> pages;
};

// A write that was sent, not answered, and is still on its way.
struct LateWrite {
  WriteHead write;
  Time due;
};

struct Operator {
  std::unique_ptr<RuleChange> change;
  Operation operation;
  ChangeAction action;
  Time wake{};
  std::optional<Generation> first_seen;
  bool forced = false;
};

struct Unsettled {
  std::string id;
  Generation base = 0;
};

Rule MakeRule(std::uint64_t number, std::uint64_t content) {
  Rule rule;
  rule.id = fmt::format("r{}", number);
  rule.match.path_prefix = fmt::format("/{}", content);
  rule.match.group = number % 3 == 0 ? kFloodGroup : "calm";
  rule.action = RejectAction{503, ""};
  return rule;
}

RuleDocument EmptyDocument() {
  RuleDocument document;
  Group flood;
  flood.name = kFloodGroup;
  flood.quota.changes_per_minute = kFloodQuota;
  Group calm;
  calm.name = "calm";
  calm.quota.changes_per_minute = 1'000'000;
  document.groups = {calm, flood};
  return document;
}

class OperatorsRun {
 public:
  explicit OperatorsRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {}

  SoakReport Run() {
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      if (step % kEpochSteps == 0) {
        BeginEpoch();
      }
      Step();
      if (step % kEpochSteps == kEpochSteps - 1) {
        EndEpoch();
      }
    }
    EndEpoch();
    report_.steps = options_.steps;
    report_.digest = digest_.digest();
    return std::move(report_);
  }

 private:
  bool Mutated(std::string_view name) const {
    return options_.mutation == name;
  }

  void Require(bool holds, std::string_view name, std::string_view detail) {
    if (!holds) {
      report_.violations.push_back(fmt::format("{} {}", name, detail));
    }
  }

  void BeginEpoch() {
    platform_ = {};
    document_ = {};
    late_.clear();
    operators_ = std::vector<Operator>(kOperators);
    operations_.clear();
    unforced_bases_.clear();
    accepted_.clear();
    settled_not_made_.clear();
    unsettled_.clear();
    flood_times_.clear();
    outage_ = false;
  }

  void Step() {
    now_ += std::chrono::milliseconds(random_.Below(100));
    if (random_.OneIn(outage_ ? 60 : 600)) {
      outage_ = !outage_;
    }
    LandLateWrites();
    if (random_.OneIn(50)) {
      SettleOne();
    }
    if (random_.OneIn(4'000)) {
      CheckTrail(200);
    }
    Operator& one = operators_[random_.Below(kOperators)];
    if (one.change == nullptr) {
      Begin(one);
    } else {
      Advance(one);
    }
  }

  UnixSeconds WallSeconds() const {
    return kStart + ToMilliseconds(now_.time_since_epoch()) / 1'000;
  }

  // ---- operators -----------------------------------------------------------

  void Begin(Operator& one) {
    ChangeRequest request;
    request.operation = MakeOperation();
    request.operation_id = fmt::format("op{}", ++operation_count_);
    request.author.who = "soak";
    request.deadline = now_ + std::chrono::milliseconds(random_.Below(40'000));
    one.forced = random_.OneIn(3);
    request.force = one.forced || Mutated("forced_apply");
    request.exempt_from_quota = Mutated("no_quota");
    one.operation = request.operation;
    one.first_seen.reset();
    operations_[request.operation_id] = request.operation;
    one.change =
        std::make_unique<RuleChange>(std::move(request), random_.Below(1'000));
    Take(one, one.change->Start(now_));
  }

  Operation MakeOperation() {
    if (document_.groups.empty()) {
      return MakeReplacement();
    }
    const std::uint64_t kind = random_.Below(16);
    const std::string id = fmt::format("r{}", random_.Below(kRuleIds));
    if (kind < 6) {
      return AddRule{MakeRule(random_.Below(kRuleIds), ++content_),
                     MakePlace()};
    }
    if (kind < 10) {
      return MoveRule{id, MakePlace()};
    }
    if (kind < 13) {
      return RetireRule{id};
    }
    if (kind < 15) {
      return UpdateRule{MakeRule(random_.Below(kRuleIds), ++content_)};
    }
    return MakeReplacement();
  }

  RulePlace MakePlace() {
    const std::string anchor = fmt::format("r{}", random_.Below(kRuleIds));
    switch (random_.Below(3)) {
      case 0:
        return {anchor, ""};
      case 1:
        return {"", anchor};
      default:
        return {};
    }
  }

  Operation MakeReplacement() {
    ReplaceDocument replace{EmptyDocument(), "apply"};
    for (std::uint64_t number = 0; number < kRuleIds; number += 2) {
      replace.document.rules.push_back(MakeRule(number, ++content_));
    }
    return replace;
  }

  void Take(Operator& one, ChangeAction action) {
    one.action = std::move(action);
    if (const auto* wait = std::get_if<WaitBeforeRetry>(&one.action)) {
      one.wake = now_ + wait->duration;
    } else if (const auto* report = std::get_if<ReportChange>(&one.action)) {
      CheckReport(one, *report);
      one.change.reset();
    }
  }

  void Advance(Operator& one) {
    if (std::holds_alternative<WaitBeforeRetry>(one.action)) {
      if (now_ >= one.wake) {
        Take(one, one.change->OnEvent(WaitOver{}, now_));
      }
      return;
    }
    ChangeEvent event = Answer(one);
    Take(one, one.change->OnEvent(std::move(event), now_));
  }

  // ---- the platform --------------------------------------------------------

  ChangeEvent Answer(Operator& one) {
    if (const auto* read = std::get_if<ReadHead>(&one.action)) {
      return AnswerRead(one, *read);
    }
    if (const auto* parts = std::get_if<WriteParts>(&one.action)) {
      return AnswerParts(*parts);
    }
    return AnswerHead(std::get<WriteHead>(one.action));
  }

  ChangeEvent AnswerRead(Operator& one, const ReadHead& wanted) {
    if (outage_) {
      return PlatformUnavailable{"outage"};
    }
    HeadRead read;
    read.resource_version =
        platform_.version == 0 ? "" : std::to_string(platform_.version);
    read.head = platform_.head;
    read.document = document_;
    read.now = WallSeconds();
    WalkTrail([&](const AuditEntry& entry) {
      const bool needed = NeedsEntry(wanted, entry, read.now);
      const bool own = entry.operation_id == one.change->operation_id();
      if (needed && !(own && Mutated("forget_operation"))) {
        read.trail.push_back(entry);
      }
      return needed;
    });
    std::reverse(read.trail.begin(), read.trail.end());
    if (!one.first_seen) {
      one.first_seen = read.head.generation;
      if (std::holds_alternative<ReplaceDocument>(one.operation) &&
          !one.forced) {
        unforced_bases_[one.change->operation_id()] = read.head.generation;
      }
    }
    return read;
  }

  ChangeEvent AnswerParts(const WriteParts& parts) {
    if (outage_) {
      return PlatformUnavailable{"outage"};
    }
    for (const RulesChunk& chunk : parts.chunks) {
      if (!Mutated("drop_chunk") || !random_.OneIn(8)) {
        platform_.chunks[chunk.name] = chunk;
      }
    }
    if (parts.page && !Mutated("drop_page")) {
      platform_.pages[parts.page->name] = *parts.page;
    }
    if (random_.OneIn(kLoseOneIn)) {
      return PlatformUnavailable{"the answer was lost"};
    }
    return PartsWritten{};
  }

  ChangeEvent AnswerHead(const WriteHead& write) {
    if (outage_) {
      return AnswerHeadInOutage(write);
    }
    const bool written = Put(write);
    if (random_.OneIn(kLoseOneIn)) {
      return Lost();
    }
    return written ? ChangeEvent(HeadWritten{}) : ChangeEvent(HeadConflict{});
  }

  ChangeEvent AnswerHeadInOutage(const WriteHead& write) {
    switch (random_.Below(3)) {
      case 0:
        return PlatformUnavailable{"outage"};
      case 1:
        return Lost();
      default:
        late_.push_back(
            {write, now_ + std::chrono::milliseconds(random_.Below(60'000))});
        return Lost();
    }
  }

  ChangeEvent Lost() const {
    if (Mutated("lost_is_not_made")) {
      return PlatformUnavailable{"the answer was lost"};
    }
    return HeadOutcomeUnknown{"the answer was lost"};
  }

  bool Put(const WriteHead& write) {
    const std::string current =
        platform_.version == 0 ? "" : std::to_string(platform_.version);
    if (write.resource_version != current && !Mutated("blind_write")) {
      return false;
    }
    CheckAccepted(write.head);
    ++platform_.version;
    platform_.head = write.head;
    return true;
  }

  void LandLateWrites() {
    for (auto write = late_.begin(); write != late_.end();) {
      if (write->due <= now_) {
        Put(write->write);
        write = late_.erase(write);
      } else {
        ++write;
      }
    }
  }

  // ---- what must hold ------------------------------------------------------

  void CheckAccepted(const RulesHead& head) {
    const AuditEntry& entry = head.audit.back();
    const std::string& id = entry.operation_id;
    Require(head.generation == platform_.head.generation + 1,
            "generation_goes_up_by_one", id);
    Require(accepted_.emplace(id, head.generation).second, "made_once", id);
    Require(!settled_not_made_.contains(id), "not_made_stays_so", id);
    const auto base = unforced_bases_.find(id);
    Require(base == unforced_bases_.end() ||
                base->second == entry.generation_before,
            "apply_undoes_nothing_unseen", id);
    CheckQuota(entry);
    Replay(head, entry);
    if (random_.OneIn(256)) {
      Require(ToJson(head).dump().size() <= kMaxHeadJsonBytes,
              "head_is_bounded", id);
    }
    digest_.Add(head.generation);
    digest_.Add(head.digest.low);
  }

  void CheckQuota(const AuditEntry& entry) {
    if (std::find(entry.groups.begin(), entry.groups.end(), kFloodGroup) ==
        entry.groups.end()) {
      return;
    }
    const UnixSeconds when = ParseUtc(entry.when).value_or(0);
    while (!flood_times_.empty() &&
           flood_times_.front() <= when - kChangeWindow) {
      flood_times_.pop_front();
    }
    flood_times_.push_back(when);
    const bool quota_known = !document_.groups.empty();
    Require(!quota_known || flood_times_.size() <= kFloodQuota,
            "changes_per_minute", entry.operation_id);
  }

  // The operations in the order of the trail give the rules in force.
  void Replay(const RulesHead& head, const AuditEntry& entry) {
    const bool applied = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_ASSIGN(
              document_,
              ApplyOperation(document_, operations_[entry.operation_id]));
          return true;
        },
        [] { return false; });
    Require(applied, "replay_applies", entry.operation_id);
    const Snapshot replayed = MakeSnapshot(head.generation, document_);
    Require(replayed.digest == head.digest, "replay_gives_the_same",
            entry.operation_id);
    for (const std::string& name : head.chunks) {
      Require(platform_.chunks.contains(name), "chunks_before_head", name);
    }
    Require(UndoSplice(entry.splice, head.chunks) == platform_.head.chunks,
            "splice_leads_back", entry.operation_id);
  }

  void CheckReport(const Operator& one, const ReportChange& report) {
    const std::string& id = one.change->operation_id();
    const auto made = accepted_.find(id);
    digest_.Add(static_cast<std::uint64_t>(report.outcome));
    digest_.Add(report.generation);
    if (report.outcome == Outcome::kMade) {
      Require(made != accepted_.end() && made->second == report.generation,
              "made_is_in_the_trail", id);
      return;
    }
    if (report.outcome == Outcome::kUnknown) {
      unsettled_.push_back({id, report.unsettled_base});
      return;
    }
    Require(made == accepted_.end(), "not_made_is_not_in_force", id);
    settled_not_made_.insert(id);
  }

  // A later look at one operation whose outcome was not known.
  void SettleOne() {
    if (unsettled_.empty()) {
      return;
    }
    const std::size_t index = random_.Below(unsettled_.size());
    const Unsettled unsettled = unsettled_[index];
    std::vector<AuditEntry> trail;
    WalkTrail([&](const AuditEntry& entry) {
      trail.push_back(entry);
      return entry.generation_after > unsettled.base;
    });
    const LateOutcome outcome = ResolveOutcome(
        unsettled.id, unsettled.base, platform_.head.generation, trail);
    const bool made = accepted_.contains(unsettled.id);
    Require(made == (outcome == LateOutcome::kMade), "late_outcome",
            unsettled.id);
    if (outcome == LateOutcome::kNotMade) {
      settled_not_made_.insert(unsettled.id);
    }
    if (outcome != LateOutcome::kOpen) {
      unsettled_.erase(unsettled_.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  template <typename Visit>
  void WalkTrail(Visit visit) {
    const auto& newest = platform_.head.audit;
    bool wanted = std::all_of(newest.rbegin(), newest.rend(), visit);
    std::string name = platform_.head.audit_page;
    while (wanted && !name.empty()) {
      const auto page = platform_.pages.find(name);
      Require(page != platform_.pages.end(), "page_before_head", name);
      if (page == platform_.pages.end()) {
        return;
      }
      const auto& entries = page->second.entries;
      wanted = std::all_of(entries.rbegin(), entries.rend(), visit);
      name = page->second.previous;
    }
  }

  // The newest `limit` entries are each there, once and in order.
  void CheckTrail(std::size_t limit) {
    Generation next = platform_.head.generation;
    std::size_t seen = 0;
    WalkTrail([&](const AuditEntry& entry) {
      const auto made = accepted_.find(entry.operation_id);
      Require(entry.generation_after == next && made != accepted_.end() &&
                  made->second == next,
              "trail_is_whole", entry.operation_id);
      --next;
      return ++seen < limit;
    });
    Require(seen == std::min<std::size_t>(limit, platform_.head.generation),
            "trail_is_whole", "too short");
  }

  void EndEpoch() {
    Require(platform_.head.generation > 0, "something_was_accepted", "");
    CheckTrail(kEpochSteps);
    for (const auto& stored : platform_.pages) {
      const auto& name = stored.first;
      const auto& page = stored.second;
      const bool same = leaf::try_handle_all(
          [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(ParseAuditPage(name, ToJson(page)));
            return true;
          },
          [] { return false; });
      Require(same, "page_reads_back", name);
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  Time now_{};
  bool outage_ = false;
  FakePlatform platform_;
  RuleDocument document_;  // By replay of what was accepted.
  std::vector<LateWrite> late_;
  std::vector<Operator> operators_;
  std::map<std::string, Operation> operations_;
  std::map<std::string, Generation> unforced_bases_;
  std::map<std::string, Generation> accepted_;
  std::set<std::string> settled_not_made_;
  std::vector<Unsettled> unsettled_;
  std::deque<UnixSeconds> flood_times_;
  std::uint64_t operation_count_ = 0;
  std::uint64_t content_ = 0;
  RunDigest digest_;
  SoakReport report_;
};

SoakReport RunOperators(const SoakOptions& options) {
  return OperatorsRun(options).Run();
}

}  // namespace

SoakTopic OperatorsTopic() {
  return {"operators",
          RunOperators,
          {"forget_operation", "lost_is_not_made", "blind_write", "drop_page",
           "drop_chunk", "forced_apply", "no_quota"}};
}

}  // namespace verbenastile
