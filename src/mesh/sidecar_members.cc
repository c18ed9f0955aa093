#include "mesh/sidecar.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "base/log.h"
#include "platform/configuration.h"
#include "platform/member_object.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "sidecar";

// A node that the store does not serve asks peers for the members after this
// time, and again at this interval.
constexpr Duration kMembersGrace = std::chrono::milliseconds(300);
constexpr Duration kMembersRequestInterval = std::chrono::milliseconds(500);

}  // namespace

void Sidecar::OnInstanceChanged(std::string_view why) {
  inbound_.OnInstanceChanged();
  AnnounceRecord(why);
}

void Sidecar::AnnounceRecord(std::string_view why) {
  ++sequence_;
  UpdateAskedMembers();
  const MemberRecord self = OwnRecord();
  UpdateStanding(self);
  leaving_confirmations_.OnRecord({self.instance, self.instance_started_ms},
                                  self.instance_leaving, sequence_);
  MergeRecord(self);
  links_.AnnounceSelf();
  Log(LogLevel::kInfo, kLogComponent, "The node's record changed.",
      {{"why", why},
       {"sequence", sequence_},
       {"instance", ToString(tracker_.state())},
       {"serving", self.member.serving},
       {"joins_owners", self.joins_owners},
       {"owns_quota_parts", self.owns_quota_parts}});
  PublishOwnRecord(nullptr);
}

MemberRecord Sidecar::OwnRecord() const {
  MemberRecord record;
  Member& member = record.member;
  member.name = settings_.name;
  member.incarnation = incarnation_;
  record.sequence = sequence_;
  member.state = leaving_ ? MemberState::kLeaving : MemberState::kAlive;
  member.failure_domain = settings_.failure_domain;
  member.region = settings_.region;
  member.service = tracker_.service();
  member.peer_address = settings_.listen.links_from_outside;
  member.serving = tracker_.serves();
  if (tracker_.report()) {
    member.slots = tracker_.report()->slots;
    member.software = tracker_.report()->software;
    record.instance = tracker_.report()->id;
    record.instance_sequence = tracker_.report()->sequence;
    record.instance_started_ms = tracker_.report()->started_ms;
  }
  record.instance_gone = tracker_.state() == InstanceState::kGone;
  record.instance_leaving = tracker_.is_leaving();
  record.instance_left_by_response = tracker_.said_leaving_in_response();
  if (const auto departed = tracker_.departed_before_report()) {
    // Kept for the next process: the instance said it to an earlier one.
    record.instance = departed->run.id;
    record.instance_started_ms = departed->run.started_ms;
    record.instance_sequence = departed->sequence;
    record.instance_leaving = true;
    record.instance_gone = departed->gone;
    record.instance_left_by_response = departed->by_response;
  }
  // A process that has not found out yet leaves the record as it was.
  record.owns_quota_parts =
      !record.instance_leaving && (quotas_.may_own_parts() || was_owner_);
  record.joins_owners = !record.instance_leaving && quotas_.joins_owners();
  record.wants_confirmation = record.instance_leaving ||
                              (record.joins_owners && !record.owns_quota_parts);
  record.asked_since = asked_since_;
  record.confirmed = join_requests_.Confirmed();
  record.crash_evidence = suspects_.SeenBy(settings_.name);
  return record;
}

void Sidecar::PublishOwnRecord(std::function<void()> on_written) {
  const MemberRecord self = OwnRecord();
  std::string record_state =
      fmt::format("{} {} {} {} {} {}", self.instance, self.instance_leaving,
                  self.instance_gone, self.instance_left_by_response,
                  self.owns_quota_parts, self.joins_owners);
  for (const auto& [name, sequence] : self.asked_since) {
    record_state += fmt::format(" asks {} {}", name, sequence);
  }
  for (const auto& [name, version] : self.confirmed) {
    record_state += fmt::format(" confirms {} {} {}", name, version.incarnation,
                                version.sequence);
  }
  for (const CrashEvidence& evidence : self.crash_evidence) {
    record_state += fmt::format(" {} {} {}", ToString(evidence.request),
                                evidence.clearances, evidence.crashes.size());
  }
  if (self.instance.empty() || record_state == published_state_) {
    if (on_written) {
      publisher_.WhenWritten(std::move(on_written));
    }
    return;
  }
  if (!has_listed_members_) {
    if (on_written) {
      on_first_publish_ = std::move(on_written);
    }
    return;
  }
  published_state_ = std::move(record_state);
  publisher_.Publish(platform::FormatMember(self), std::move(on_written));
}

void Sidecar::OnMembersListed(const std::vector<StoreObject>& items) {
  std::set<std::string_view> names;
  for (const StoreObject& object : items) {
    names.insert(object.name);
    OnMemberObject(object);
  }
  if (!has_listed_members_) {
    // The list brought the revision of the record that an earlier run of this
    // node wrote, so that one write replaces it.
    has_listed_members_ = true;
    PublishOwnRecord(std::exchange(on_first_publish_, nullptr));
  }
  if (join_requests_.OnListed(SteadyNow())) {
    ++confirmations_;
  }
  PublishOwnRecord(nullptr);
  std::vector<std::pair<std::string, std::uint64_t>> gone;
  for (const auto& [name, entry] : member_registry_.entries()) {
    if (!entry.linked && name != settings_.name && !names.contains(name)) {
      gone.emplace_back(name, entry.record.member.incarnation);
    }
  }
  for (const auto& [name, incarnation] : gone) {
    Log(LogLevel::kInfo, "members",
        "Removed a member that is no longer in the store.", {{"name", name}});
    member_registry_.Forget(name, incarnation);
    known_by_.erase(name);
    counted_by_.erase(name);
  }
  links_.UpdateLinks();
}

void Sidecar::MergeCrashEvidence(std::string_view source,
                                 std::span<const CrashEvidence> evidence) {
  bool changed = false;
  std::vector<CrashEvidence> newer;
  for (const CrashEvidence& item : evidence) {
    const MergeResult result = suspects_.Merge(item, SteadyNow());
    if (result.added) {
      changed = true;
      LogVerdict(source, item);
    }
    if (const auto known = suspects_.Known(item.request);
        known && result.sender_is_behind) {
      newer.push_back(*known);
    }
  }
  if (changed) {
    PublishCrashEvidence();
  }
  if (changed && source == kStoreSource) {
    // Peers that started together with this node, and cannot read the store,
    // have this part from nobody else.
    std::vector<CrashEvidence> own = suspects_.SeenBy(settings_.name);
    if (!own.empty()) {
      links_.AnnounceCrashEvidence(std::move(own));
    }
  }
  if (!newer.empty() && source != kStoreSource) {
    links_.Send(source, {0, LinkCrashEvidence{std::move(newer)}});
  }
}

void Sidecar::OnCrashEvidence(std::vector<CrashEvidence> evidence) {
  for (const CrashEvidence& item : evidence) {
    LogVerdict(settings_.name, item);
  }
  links_.AnnounceCrashEvidence(std::move(evidence));
  PublishCrashEvidence();
}

void Sidecar::ApplyRequestOverrides(
    const std::map<Digest, RequestOverride>& before) {
  std::vector<CrashEvidence> evidence;
  for (const auto& [request, decision] : settings_.requests) {
    const auto known = before.find(request);
    if (known != before.end() && known->second == decision) {
      continue;
    }
    evidence.push_back(decision == RequestOverride::kCleared
                           ? suspects_.Clear(request, SteadyNow())
                           : suspects_.Convict(request, SteadyNow()));
  }
  if (!evidence.empty()) {
    OnCrashEvidence(std::move(evidence));
  }
}

// A node that stops may delete its record; its peers keep the evidence.
void Sidecar::PublishCrashEvidence() {
  if (!leaving_) {
    PublishOwnRecord(nullptr);
  }
}

// One crash, or a clearance, is logged by the node that saw it only.
void Sidecar::LogVerdict(std::string_view source,
                         const CrashEvidence& evidence) const {
  const SuspectVerdict verdict = suspects_.Judge(evidence.request);
  if (verdict == SuspectVerdict::kSuspect ||
      (verdict == SuspectVerdict::kUnsuspected && source != settings_.name)) {
    return;
  }
  std::string nodes;
  for (const CrashId& crash : suspects_.CrashesOf(evidence.request)) {
    nodes += (nodes.empty() ? "" : ",") + crash.node;
  }
  Log(verdict == SuspectVerdict::kUnsuspected ? LogLevel::kInfo
                                              : LogLevel::kWarning,
      "suspects", "New evidence on a request that may end instances.",
      {{"digest", ToString(evidence.request)},
       {"verdict", ToString(verdict)},
       {"crashes_at", nodes},
       {"clearances", evidence.clearances},
       {"source", source}});
}

void Sidecar::OnMemberObject(const StoreObject& object) {
  if (object.name == settings_.name) {
    publisher_.UpdateRevision(object.revision);
  }
  const auto parsed = platform::ParseMember(object.spec);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kWarning, "members", "Cannot parse a member's record.",
        {{"name", object.name}, {"error", error->reason}});
    return;
  }
  const auto& record = std::get<MemberRecord>(parsed);
  if (record.member.name != object.name) {
    Log(LogLevel::kWarning, "members",
        "Ignored a record that names another member.",
        {{"name", object.name}, {"named", record.member.name}});
    return;
  }
  MergeCrashEvidence(kStoreSource, record.crash_evidence);
  OnJoinRequest(record);
  if (object.name == settings_.name && !record.instance_leaving &&
      !is_leaving_) {
    const bool is_earlier = record.member.incarnation < incarnation_;
    is_stored_ = is_stored_ || !is_earlier;
    is_listed_ =
        is_listed_ || (!is_earlier && joins_since_ && record.joins_owners &&
                       record.sequence >= *joins_since_);
    was_owner_ = was_owner_ || (is_earlier && record.owns_quota_parts);
  }
  if (object.name != settings_.name) {
    StoreRecord(record);
  } else if (record.member.incarnation < incarnation_ &&
             record.instance_leaving) {
    const Time now = SteadyNow();
    const InstanceRun run{record.instance, record.instance_started_ms};
    bool changed = tracker_.RestoreDeparted(run, record.instance_gone,
                                            record.instance_sequence, now);
    if (record.instance_left_by_response) {
      changed =
          tracker_.OnLeavingPeerNotice(run, now) == ReportVerdict::kChanged ||
          changed;
    }
    if (changed) {
      OnInstanceChanged("record of an earlier run");
    }
  }
}

// A node whose instance has left is a new one for the others when another
// instance comes: they may have given its parts of quotas to others meanwhile.
void Sidecar::UpdateStanding(const MemberRecord& self) {
  is_leaving_ = self.instance_leaving;
  if (is_leaving_) {
    was_owner_ = false;
  }
  if (!self.joins_owners) {
    joins_since_.reset();
    is_listed_ = false;
    requested_own_record_ = false;
  } else if (!joins_since_) {
    joins_since_ = self.sequence;
  }
}

void Sidecar::UpdateAskedMembers() {
  const QuotaOwners::Names& asked = quotas_.asked_members();
  std::erase_if(asked_since_, [&](const auto& known) {
    return !asked.contains(known.first);
  });
  for (const std::string& member : asked) {
    if (asked_since_.try_emplace(member, sequence_).second) {
      Log(LogLevel::kInfo, "quota",
          "Asks a member without a link to count this node as an owner.",
          {{"member", member}, {"sequence", sequence_}});
    }
  }
}

void Sidecar::OnJoinRequest(const MemberRecord& record) {
  const std::string& name = record.member.name;
  if (name == settings_.name) {
    return;
  }
  // This node would have to wait for a member that it counts, while the other
  // members wait for this node.
  const bool accepts = !quotas_.joins_owners() || quotas_.may_own_parts();
  if (join_requests_.OnRecord(record, accepts, SteadyNow())) {
    ++confirmations_;
  }
  const auto confirmed = record.confirmed.find(settings_.name);
  if (confirmed == record.confirmed.end() ||
      confirmed->second.incarnation != incarnation_) {
    return;
  }
  const RecordVersion counted{record.member.incarnation,
                              confirmed->second.sequence};
  RecordVersion& known = counted_by_[name];
  if (known < counted) {
    known = counted;
    ++confirmations_;
  }
}

QuotaStanding Sidecar::Standing() const {
  return {has_listed_members_ || was_told_members_,
          is_listed_,
          was_owner_,
          is_leaving_,
          is_stored_,
          confirmations_};
}

std::set<std::string, std::less<>> Sidecar::ConfirmedBy() const {
  std::set<std::string, std::less<>> confirmed_by;
  for (const auto& [member, sequence] : known_by_) {
    if (joins_since_ && sequence >= *joins_since_) {
      confirmed_by.insert(member);
    }
  }
  for (const auto& [member, since] : asked_since_) {
    const auto counted = counted_by_.find(member);
    const MemberRegistry::Entry* entry = member_registry_.Find(member);
    // A process that started since then has to confirm as well.
    if (counted != counted_by_.end() && counted->second.sequence >= since &&
        entry != nullptr &&
        entry->record.member.incarnation == counted->second.incarnation) {
      confirmed_by.insert(member);
    }
  }
  return confirmed_by;
}

void Sidecar::RequestMembers(Time now) {
  if (has_listed_members_) {
    const bool awaits_list =
        quotas_.active() && (!is_stored_ || (joins_since_ && !is_listed_));
    if (awaits_list && publisher_.is_written() &&
        !std::exchange(requested_own_record_, true)) {
      member_follower_.ListNow(ObjectStore::Freshness::kCurrent);
    }
    return;
  }
  const bool was_told = quotas_.active() ? was_told_members_ : heard_members_;
  if (was_told || now - started_ < kMembersGrace ||
      now - requested_members_at_ < kMembersRequestInterval) {
    return;
  }
  std::vector<std::string> linked;
  for (const auto& [name, entry] : member_registry_.entries()) {
    if (entry.linked) {
      linked.push_back(name);
    }
  }
  if (!linked.empty()) {
    requested_members_at_ = now;
    links_.Send(linked[members_random_.Below(linked.size())],
                {0, LinkMembersWanted{}});
  }
}

LinkMembers Sidecar::Members(std::string_view asked_by) const {
  LinkMembers members;
  members.sender_owns_quota_parts = quotas_.may_own_parts();
  const auto join_requests = join_requests_.members();
  for (const auto& [name, entry] : member_registry_.entries()) {
    if (name == asked_by) {
      members.receiver_owned_quota_parts = entry.owned_quota_parts;
    } else {
      members.records.push_back(entry.record);
      members.records.back().owns_quota_parts = entry.owned_quota_parts;
      // The asking node may join before the receiver hears of it.
      members.records.back().joins_owners |= join_requests.contains(name);
    }
  }
  return members;
}

void Sidecar::OnMembers(std::string_view member, const LinkMembers& message) {
  Log(LogLevel::kInfo, "members", "A peer told which members there are.",
      {{"peer", member},
       {"members", message.records.size()},
       {"owns_quota_parts", message.sender_owns_quota_parts}});
  for (const MemberRecord& record : message.records) {
    if (record.member.name != settings_.name) {
      StoreRecord(record);
    }
  }
  links_.UpdateLinks();
  heard_members_ = true;
  if (message.sender_owns_quota_parts) {
    was_told_members_ = true;
    was_owner_ =
        !is_leaving_ && (was_owner_ || message.receiver_owned_quota_parts);
  }
}

void Sidecar::MergeRecord(const MemberRecord& record) {
  if (StoreRecord(record)) {
    links_.UpdateLinks();
  }
}

bool Sidecar::StoreRecord(const MemberRecord& record) {
  const MemberRegistry::Entry* known =
      member_registry_.Find(record.member.name);
  // Said by the same process, which has heard both from the instance.
  const bool leaving_before =
      known != nullptr && known->record.instance_leaving &&
      known->record.instance == record.instance &&
      known->record.member.incarnation == record.member.incarnation;
  if (!member_registry_.Merge(record, SteadyNow())) {
    return false;
  }
  if (record.member.name != settings_.name) {
    Log(LogLevel::kInfo, "members", "A member's record changed.",
        {{"name", record.member.name},
         {"incarnation", record.member.incarnation},
         {"sequence", record.sequence},
         {"service", record.member.service},
         {"state", ToString(record.member.state)},
         {"serving", record.member.serving},
         {"instance", record.instance},
         {"instance_leaving", record.instance_leaving},
         {"slots", record.member.slots}});
  }
  if (record.instance_leaving) {
    outbound_.OnPeerNotice(
        record.member.name,
        {record.instance, std::nullopt, true, record.instance_started_ms});
  } else if (leaving_before) {
    outbound_.OnPeerStays(record.member.name, record.instance);
  }
  return true;
}

}  // namespace verbenastile
