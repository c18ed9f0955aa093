#include "core/roster.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

using nlohmann::json;

constexpr std::uint8_t kLastState =
    static_cast<std::uint8_t>(MemberState::kLeft);

Member MemberFrom(const json& entry) {
  Member member;
  entry.at("name").get_to(member.name);
  entry.at("incarnation").get_to(member.incarnation);
  const auto state = entry.at("state").get<std::uint8_t>();
  member.state = static_cast<MemberState>(std::min(state, kLastState));
  entry.at("failureDomain").get_to(member.failure_domain);
  entry.at("region").get_to(member.region);
  entry.at("service").get_to(member.service);
  entry.at("slots").get_to(member.slots);
  entry.at("connections").get_to(member.connections);
  const auto peers = ParseSocketAddress(entry.at("peers").get<std::string>());
  const auto control =
      ParseSocketAddress(entry.at("control").get<std::string>());
  member.peer_address = peers.value_or(SocketAddress{});
  member.control_address = control.value_or(SocketAddress{});
  return member;
}

}  // namespace

json ToJson(const Member& member) {
  return {{"name", member.name},
          {"incarnation", member.incarnation},
          {"state", static_cast<int>(member.state)},
          {"failureDomain", member.failure_domain},
          {"region", member.region},
          {"service", member.service},
          {"slots", member.slots},
          {"connections", member.connections},
          {"peers", ToString(member.peer_address)},
          {"control", ToString(member.control_address)}};
}

leaf::result<Member> ParseMember(const json& entry) {
  try {
    Member member = MemberFrom(entry);
    if (member.peer_address.port == 0 || member.control_address.port == 0) {
      return leaf::new_error(
          RosterError{"a member's peers or control address is malformed"});
    }
    return member;
  } catch (const json::exception& error) {
    return leaf::new_error(RosterError{error.what()});
  }
}

json ToJson(const Roster& roster) {
  json members = json::array();
  for (const Member& member : roster.members) {
    members.push_back(ToJson(member));
  }
  return {{"members", std::move(members)}};
}

leaf::result<Roster> ParseRoster(const json& spec) {
  Roster roster;
  const auto members = spec.find("members");
  if (members == spec.end() || !members->is_array()) {
    return leaf::new_error(RosterError{"members is missing or not a list"});
  }
  for (const json& entry : *members) {
    BOOST_LEAF_AUTO(member, ParseMember(entry));
    roster.members.push_back(std::move(member));
  }
  return roster;
}

bool PutMember(Roster& roster, const Member& member) {
  const auto known = std::find_if(
      roster.members.begin(), roster.members.end(),
      [&](const Member& entry) { return entry.name == member.name; });
  if (known == roster.members.end()) {
    roster.members.push_back(member);
    return true;
  }
  if (*known == member) {
    return false;
  }
  *known = member;
  return true;
}

}  // namespace verbenastile
