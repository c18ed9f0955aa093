#include "node/status_page.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

using nlohmann::json;

bool AcceptsCalls(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

void AddMember(FleetPart& part, const MemberStatus& member) {
  const bool accepts_calls = AcceptsCalls(member.state);
  part.serving += accepts_calls ? 1 : 0;
  part.suspect += member.state == MemberState::kSuspect ? 1 : 0;
  part.leaving += member.state == MemberState::kLeaving ? 1 : 0;
  part.dead += member.state == MemberState::kDead ? 1 : 0;
  part.ejected += member.ejected ? 1 : 0;
  if (!accepts_calls || !member.generation) {
    return;
  }
  const Generation generation = *member.generation;
  part.oldest =
      part.newest == 0 ? generation : std::min(part.oldest, generation);
  part.newest = std::max(part.newest, generation);
}

std::vector<FleetPart> GroupMembersBy(const NodeStatus& status,
                                      std::string MemberStatus::*key) {
  std::map<std::string, FleetPart> parts;
  for (const MemberStatus& member : status.members) {
    FleetPart& part = parts[member.*key];
    part.name = member.*key;
    AddMember(part, member);
  }
  std::vector<FleetPart> list;
  list.reserve(parts.size());
  for (auto& [name, part] : parts) {
    list.push_back(std::move(part));
  }
  return list;
}

json ToJson(const std::vector<FleetPart>& parts) {
  json list = json::array();
  for (const FleetPart& part : parts) {
    list.push_back({{"name", part.name},
                    {"serving", part.serving},
                    {"suspect", part.suspect},
                    {"leaving", part.leaving},
                    {"dead", part.dead},
                    {"ejected", part.ejected},
                    {"oldest_generation", part.oldest},
                    {"newest_generation", part.newest}});
  }
  return list;
}

json ToJson(const MemberStatus& member) {
  json out = {{"name", member.name},
              {"failure_domain", member.failure_domain},
              {"region", member.region},
              {"service", member.service},
              {"state", ToString(member.state)},
              {"ejected", member.ejected}};
  if (member.generation) {
    out["generation"] = *member.generation;
  }
  return out;
}

json ToJson(const GroupStatus& group) {
  return {{"name", group.name},
          {"weight", group.weight},
          {"rules", group.rules},
          {"rules_allowed", group.rules_allowed}};
}

// Returns the value of `key` as text, whatever its type, or "-" if it is
// missing.
std::string GetText(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

const json& GetList(const json& object, const char* key) {
  static const json none = json::array();
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : none;
}

std::string RenderFleetParts(const char* title, const json& parts) {
  std::string text =
      fmt::format("{:24} {:>7} {:>7} {:>7} {:>5} {:>7} {}\n", title, "serving",
                  "suspect", "leaving", "dead", "ejected", "generations");
  for (const json& part : parts) {
    text += fmt::format("  {:22} {:>7} {:>7} {:>7} {:>5} {:>7} {}..{}\n",
                        GetText(part, "name"), GetText(part, "serving"),
                        GetText(part, "suspect"), GetText(part, "leaving"),
                        GetText(part, "dead"), GetText(part, "ejected"),
                        GetText(part, "oldest_generation"),
                        GetText(part, "newest_generation"));
  }
  return text;
}

std::string RenderMembers(const json& members) {
  std::string text =
      fmt::format("{:24} {:16} {:16} {:8} {}\n", "members", "failure domain",
                  "service", "state", "generation");
  for (const json& member : members) {
    text += fmt::format(
        "  {:22} {:16} {:16} {:8} {}{}\n", GetText(member, "name"),
        GetText(member, "failure_domain"), GetText(member, "service"),
        GetText(member, "state"), GetText(member, "generation"),
        GetText(member, "ejected") == "true" ? " ejected" : "");
  }
  return text;
}

std::string RenderGroups(const json& groups) {
  std::string text =
      fmt::format("{:24} {:>7} {}\n", "groups", "weight", "rules");
  for (const json& group : groups) {
    text += fmt::format("  {:22} {:>7} {} of {}\n", GetText(group, "name"),
                        GetText(group, "weight"), GetText(group, "rules"),
                        GetText(group, "rules_allowed"));
  }
  return text;
}

}  // namespace

std::optional<Generation> GenerationOf(const FleetView& reported,
                                       const Member& member) {
  const auto found = reported.domains.find(member.failure_domain);
  if (found == reported.domains.end()) {
    return std::nullopt;
  }
  const DomainView& view = found->second;
  for (const Laggard& laggard : view.laggards) {
    if (laggard.name == member.name) {
      return laggard.generation;
    }
  }
  const bool all_reported = view.AtLeast(view.newest) == view.nodes;
  return all_reported ? std::optional(view.newest) : std::nullopt;
}

std::vector<FleetPart> ByFailureDomain(const NodeStatus& status) {
  return GroupMembersBy(status, &MemberStatus::failure_domain);
}

std::vector<FleetPart> ByService(const NodeStatus& status) {
  return GroupMembersBy(status, &MemberStatus::service);
}

bool IsCutOff(const NodeStatus& status) {
  const bool has_peer = std::any_of(
      status.members.begin(), status.members.end(),
      [&](const MemberStatus& member) {
        return member.name != status.name && AcceptsCalls(member.state);
      });
  const bool has_platform =
      status.platform == "watching" || status.platform == "listing";
  return !has_platform && !has_peer;
}

Generation Lag(const NodeStatus& status) {
  Generation newest = std::max(status.newest_known, status.generation);
  for (const MemberStatus& member : status.members) {
    newest = std::max(newest, member.generation.value_or(0));
  }
  for (const auto& [name, view] : status.reported.domains) {
    newest = std::max(newest, view.newest);
  }
  return newest - status.generation;
}

json ToJson(const NodeStatus& status) {
  json members = json::array();
  std::transform(status.members.begin(), status.members.end(),
                 std::back_inserter(members),
                 [](const MemberStatus& member) { return ToJson(member); });
  json groups = json::array();
  std::transform(status.groups.begin(), status.groups.end(),
                 std::back_inserter(groups),
                 [](const GroupStatus& group) { return ToJson(group); });
  json reported = json::array();
  for (const auto& [name, view] : status.reported.domains) {
    reported.push_back(ToJson(view));
  }
  return {{"name", status.name},
          {"reported", std::move(reported)},
          {"failure_domain", status.failure_domain},
          {"region", status.region},
          {"service", status.service},
          {"state", status.state},
          {"generation", status.generation},
          {"lag", Lag(status)},
          {"digest", status.digest},
          {"platform", status.platform},
          {"platform_other_history", status.other_history},
          {"waiting_for", status.waiting_for},
          {"cut_off", IsCutOff(status)},
          {"active_calls", status.active_calls},
          {"refused_calls", status.refused_calls},
          {"violations", status.violations},
          {"refused_generation", status.refused_generation},
          {"refusal", status.refusal},
          {"failure_domains", ToJson(ByFailureDomain(status))},
          {"services", ToJson(ByService(status))},
          {"groups", std::move(groups)},
          {"members", std::move(members)}};
}

std::string RenderStatus(const json& status) {
  constexpr std::pair<const char*, const char*> kLines[] = {
      {"node", "name"},
      {"failure domain", "failure_domain"},
      {"state", "state"},
      {"generation", "generation"},
      {"lag", "lag"},
      {"platform", "platform"},
      {"active calls", "active_calls"},
      {"refused calls", "refused_calls"},
      {"violations", "violations"}};
  std::string text;
  for (const auto& [title, key] : kLines) {
    text += fmt::format("{:15} {}\n", title, GetText(status, key));
  }
  if (GetText(status, "cut_off") == "true") {
    text +=
        "CUT OFF         neither the platform nor any member answers; the data "
        "below is stale\n";
  }
  if (!GetText(status, "waiting_for").empty()) {
    text += fmt::format("waiting         {}\n", GetText(status, "waiting_for"));
  }
  if (GetText(status, "platform_other_history") == "true") {
    text +=
        "OTHER HISTORY   the platform reports an older or different "
        "generation\n";
  }
  if (!GetText(status, "refusal").empty()) {
    text += fmt::format("refused         generation {}: {}\n",
                        GetText(status, "refused_generation"),
                        GetText(status, "refusal"));
  }
  text +=
      RenderFleetParts("failure domains", GetList(status, "failure_domains"));
  text += RenderFleetParts("services", GetList(status, "services"));
  text += RenderGroups(GetList(status, "groups"));
  return text + RenderMembers(GetList(status, "members"));
}

}  // namespace verbenastile
