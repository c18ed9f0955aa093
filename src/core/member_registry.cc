#include "core/member_registry.h"

#include <tuple>

namespace verbenastile {
namespace {

// What the record says of the member that the directory does not show.
auto QuotaFieldsOf(const MemberRegistry::Entry& entry) {
  return std::tuple(entry.owned_quota_parts, entry.record.joins_owners,
                    entry.record.instance_leaving, entry.record.instance_gone,
                    entry.record.member.state);
}

}  // namespace

bool MemberRegistry::Merge(const MemberRecord& record, Time now) {
  const auto found = entries_.find(record.member.name);
  if (found != entries_.end() && !IsNewer(record, found->second.record)) {
    return false;
  }
  Entry& entry = entries_[record.member.name];
  const auto said_before = QuotaFieldsOf(entry);
  entry.record = record;
  entry.owned_quota_parts =
      !record.instance_leaving && !record.instance_gone &&
      (entry.owned_quota_parts || record.owns_quota_parts);
  entry.received_at = now;
  if (QuotaFieldsOf(entry) != said_before) {
    ++changes_;
  }
  UpdateDirectory(entry);
  return true;
}

void MemberRegistry::SetLinked(std::string_view name, bool linked, Time now) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || found->second.linked == linked) {
    return;
  }
  found->second.linked = linked;
  found->second.linked_since = now;
  UpdateDirectory(found->second);
}

bool MemberRegistry::Forget(std::string_view name, std::uint64_t incarnation) {
  const auto found = entries_.find(name);
  if (found == entries_.end() ||
      found->second.record.member.incarnation > incarnation) {
    return false;
  }
  directory_.Remove(name);
  entries_.erase(found);
  return true;
}

const MemberRegistry::Entry* MemberRegistry::Find(std::string_view name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

void MemberRegistry::UpdateDirectory(const Entry& entry) {
  Member member = entry.record.member;
  const bool reachable = entry.linked || member.name == self_;
  if (!reachable) {
    member.state = MemberState::kDead;
  } else if (!member.serving && member.state <= MemberState::kSuspect) {
    member.state = MemberState::kLeaving;
  }
  directory_.Put(std::move(member));
}

}  // namespace verbenastile
