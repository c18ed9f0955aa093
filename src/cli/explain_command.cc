// The command `verbenastile rules explain`: shows which rule applies to a
// request, and why the rules before it do not.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/text.h"
#include "cli/admin_call.h"
#include "cli/rules_actions.h"
#include "core/explain.h"

namespace verbenastile {
namespace {

// A request as given on the command line.
struct RequestDescription {
  std::string group;
  std::string service;
  std::string host;
  std::string path;
  std::string method;
  std::vector<HeaderMatch> headers;
};

// Command-line options that describe a request.
class RequestArgs {
 public:
  explicit RequestArgs(TCLAP::CmdLine& cmd)
      : group_("", "group", "the caller's group", false, "", "G", cmd),
        service_("", "service", "the requested service", false, "", "S", cmd),
        host_("", "host", "the Host header", false, "", "H", cmd),
        method_("", "method", "HTTP method", false, "GET", "M", cmd),
        path_("", "path", "path of the URL", true, "", "P", cmd),
        headers_("",
                 "header",
                 "a request header; may be repeated",
                 false,
                 "NAME:VALUE",
                 cmd) {}

  // Errors: `OperationError`.
  leaf::result<RequestDescription> request() {
    RequestDescription request{group_.getValue(),         service_.getValue(),
                               ToLower(host_.getValue()), path_.getValue(),
                               method_.getValue(),        {}};
    request.path = request.path.substr(0, request.path.find('?'));
    for (const std::string& header : headers_.getValue()) {
      const auto colon = header.find(':');
      if (colon == std::string::npos || colon == 0) {
        return leaf::new_error(OperationError{"--header: expected NAME:VALUE"});
      }
      const auto value =
          std::min(header.find_first_not_of(' ', colon + 1), header.size());
      request.headers.push_back(
          {ToLower(header.substr(0, colon)), header.substr(value)});
    }
    return request;
  }

 private:
  TCLAP::ValueArg<std::string> group_;
  TCLAP::ValueArg<std::string> service_;
  TCLAP::ValueArg<std::string> host_;
  TCLAP::ValueArg<std::string> method_;
  TCLAP::ValueArg<std::string> path_;
  TCLAP::MultiArg<std::string> headers_;
};

Explanation ExplainRequest(const RuleDocument& document,
                           const RequestDescription& description) {
  std::vector<HeaderView> headers;
  for (const HeaderMatch& header : description.headers) {
    headers.push_back({header.name, header.value});
  }
  return Explain(document,
                 {description.group, description.service, description.host,
                  description.path, description.method, headers});
}

// The members in a node's status that serve `service` and are alive or suspect.
nlohmann::json ListUpstreams(const nlohmann::json& status,
                             const std::string& service) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& member : status.value("members", nlohmann::json::array())) {
    const std::string state = member.value("state", "");
    if (member.value("service", "") == service &&
        (state == "alive" || state == "suspect")) {
      upstreams.push_back(member);
    }
  }
  return upstreams;
}

// The targets of the matching rule's route, with the upstreams of each when a
// node's status is given.
nlohmann::json MakeTargets(const Explanation& explanation,
                           const nlohmann::json& status) {
  nlohmann::json targets = nlohmann::json::array();
  const auto* route =
      explanation.matching_rule == nullptr
          ? nullptr
          : std::get_if<RouteAction>(&explanation.matching_rule->action);
  if (route == nullptr) {
    return targets;
  }
  for (const RouteTarget& target : route->targets) {
    nlohmann::json entry = {{"service", target.service},
                            {"weight", target.weight}};
    if (!status.is_null()) {
      entry["upstreams"] = ListUpstreams(status, target.service);
    }
    targets.push_back(std::move(entry));
  }
  return targets;
}

void PrintJson(Generation generation,
               const Explanation& explanation,
               const nlohmann::json& targets) {
  nlohmann::json passed_over_json = nlohmann::json::array();
  for (const SkippedRule& rule : explanation.skipped_rules) {
    passed_over_json.push_back({{"id", rule.id}, {"reason", rule.reason}});
  }
  nlohmann::json out = {{"generation", generation},
                        {"passedOver", std::move(passed_over_json)},
                        {"decides", nullptr},
                        {"targets", targets}};
  if (explanation.matching_rule != nullptr) {
    out["decides"] =
        nlohmann::json::parse(ToCanonicalText(*explanation.matching_rule));
  }
  fmt::print("{}\n", out.dump());
}

void PrintTarget(const nlohmann::json& target) {
  fmt::print("  to service {} weight {}\n", target.value("service", ""),
             target.value("weight", 0));
  if (!target.contains("upstreams")) {
    return;
  }
  if (target["upstreams"].empty()) {
    fmt::print("    no upstream serves it\n");
  }
  for (const auto& member : target["upstreams"]) {
    fmt::print("    {} {} {}\n", member.value("name", ""),
               member.value("failure_domain", ""), member.value("state", ""));
  }
}

void PrintText(Generation generation,
               const Explanation& explanation,
               const nlohmann::json& targets) {
  fmt::print("generation {}\n", generation);
  for (const SkippedRule& rule : explanation.skipped_rules) {
    fmt::print("passed over  {}: {}\n", rule.id, rule.reason);
  }
  if (explanation.matching_rule == nullptr) {
    fmt::print("no rule matches\n");
    return;
  }
  fmt::print("decides      {}: {}\n", explanation.matching_rule->id,
             ToCanonicalText(*explanation.matching_rule));
  for (const auto& target : targets) {
    PrintTarget(target);
  }
}

}  // namespace

int RunRulesExplain(CommandArgs args) {
  TCLAP::CmdLine cmd("Shows which rule applies to a request, and why.", ' ',
                     VERBENASTILE_VERSION);
  PlatformArgs platform_args(cmd);
  OutputArg output(cmd);
  RequestArgs request_args(cmd);
  TCLAP::ValueArg<std::string> admin(
      "", "admin", "admin address of a node to query for upstreams", false, "",
      "IP:PORT", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(request, request_args.request());
    BlockingPlatform platform(platform_args.settings());
    BOOST_LEAF_AUTO(rules, RulesStore(platform).Read());
    nlohmann::json status;
    if (!admin.getValue().empty()) {
      BOOST_LEAF_ASSIGN(status, FetchAdminJson(admin.getValue(), "/status"));
    }
    const Explanation explanation = ExplainRequest(rules.document, request);
    const auto targets = MakeTargets(explanation, status);
    if (output.json()) {
      PrintJson(rules.head.generation, explanation, targets);
    } else {
      PrintText(rules.head.generation, explanation, targets);
    }
    return kExitOk;
  });
}

}  // namespace verbenastile
