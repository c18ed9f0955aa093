#include "core/member_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/digest.h"
#include "core/invariant.h"

namespace verbenastile {
namespace {

// Leaves out the state: suspicion is transient, and leaving raises the
// incarnation.
std::uint32_t DigestOfMember(const Member& member) {
  return static_cast<std::uint32_t>(
      DigestOf(fmt::format("{} {} {} {} {}", member.name, member.incarnation,
                           member.serving, member.control_address.ip,
                           member.control_address.port))
          .low);
}

}  // namespace

std::size_t BucketOf(std::string_view name) {
  return DigestOf(name).low % kSyncBuckets;
}

MemberTable::MemberTable(std::string own_name, std::string own_domain)
    : own_name_(std::move(own_name)), own_domain_(std::move(own_domain)) {}

const MemberRecord* MemberTable::Find(std::string_view name) const {
  const auto known = records_.find(name);
  return known == records_.end() ? nullptr : &known->second;
}

void MemberTable::Toggle(const MemberRecord& record) {
  if (IsLive(record.member.state)) {
    buckets_[BucketOf(record.member.name)] ^= record.digest;
  }
}

bool MemberTable::Put(const Member& member, Time now) {
  auto known = records_.find(member.name);
  if (known == records_.end()) {
    if (records_.size() >= kMaxMembers) {
      return false;
    }
    known = records_.emplace(member.name, MemberRecord{}).first;
    by_bucket_[BucketOf(member.name)].push_back(&known->second);
  } else {
    CheckInvariant(member.incarnation >= known->second.member.incarnation,
                   "membership_incarnation_monotone", member.name);
    Toggle(known->second);
  }
  known->second.member = member;
  known->second.digest = DigestOfMember(member);
  known->second.changed = now;
  Toggle(known->second);
  views_stale_ = true;
  return true;
}

std::optional<std::string> MemberTable::EvictGone() {
  const auto& gone = views().gone;
  const auto oldest = std::min_element(
      gone.begin(), gone.end(),
      [](auto* a, auto* b) { return a->changed < b->changed; });
  if (oldest == gone.end()) {
    return std::nullopt;
  }
  std::string name = (*oldest)->member.name;
  Erase(name);
  return name;
}

void MemberTable::Erase(std::string_view name) {
  const auto known = records_.find(name);
  Toggle(known->second);
  std::erase(by_bucket_[BucketOf(name)], &known->second);
  records_.erase(known);
  views_stale_ = true;
}

std::vector<std::string> MemberTable::ForgetGone(Time before) {
  std::vector<std::string> forgotten;
  for (const MemberRecord* record : views().gone) {
    if (record->changed < before) {
      forgotten.push_back(record->member.name);
    }
  }
  for (const std::string& name : forgotten) {
    Erase(name);
  }
  return forgotten;
}

void MemberTable::Heard(std::string_view name, Time now) {
  const auto known = records_.find(name);
  if (known != records_.end()) {
    known->second.last_heard = now;
  }
}

const MemberTable::Views& MemberTable::views() const {
  if (!views_stale_) {
    return views_;
  }
  views_ = {};
  for (const auto& [name, record] : records_) {
    if (name == own_name_) {
      continue;
    }
    if (!IsLive(record.member.state)) {
      views_.gone.push_back(&record);
    } else if (record.member.failure_domain == own_domain_) {
      views_.neighbours.push_back(&record);
    } else {
      views_.distant.push_back(&record);
    }
  }
  views_stale_ = false;
  return views_;
}

std::size_t MemberTable::live() const {
  return views().neighbours.size() + views().distant.size() + 1;
}

std::uint64_t MemberTable::root() const {
  return DigestOf(
             {reinterpret_cast<const char*>(buckets_.data()), sizeof(buckets_)})
      .low;
}

std::vector<const MemberRecord*> MemberTable::InBucket(
    std::size_t bucket) const {
  return by_bucket_[bucket];
}

}  // namespace verbenastile
