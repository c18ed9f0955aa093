#include "core/join_requests.h"

namespace verbenastile {
namespace {

// Longer than lists of the store may be out of date.
constexpr Duration kForgottenAfter = std::chrono::seconds(60);

}  // namespace

bool JoinRequests::OnRecord(const MemberRecord& record,
                            bool accepts,
                            Time now) {
  const RecordVersion version{record.member.incarnation, record.sequence};
  const auto known = requests_.find(record.member.name);
  if (known != requests_.end() && version < known->second.last) {
    return false;
  }
  const auto asks = record.asked_since.find(self_);
  if (asks == record.asked_since.end()) {
    return requests_.erase(record.member.name) > 0;
  }
  if (known == requests_.end() && !accepts) {
    return false;
  }
  const RecordVersion first{version.incarnation, asks->second};
  const bool is_new = known == requests_.end() || known->second.first != first;
  requests_[record.member.name] = {first, version, now};
  return is_new;
}

bool JoinRequests::OnListed(Time now) {
  return std::erase_if(requests_, [&](const auto& request) {
           return now - request.second.shown_at >= kForgottenAfter;
         }) > 0;
}

RecordVersions JoinRequests::Confirmed() const {
  RecordVersions confirmed;
  for (const auto& [name, request] : requests_) {
    confirmed.emplace(name, request.first);
  }
  return confirmed;
}

std::set<std::string, std::less<>> JoinRequests::members() const {
  std::set<std::string, std::less<>> members;
  for (const auto& [name, request] : requests_) {
    members.insert(name);
  }
  return members;
}

}  // namespace verbenastile
