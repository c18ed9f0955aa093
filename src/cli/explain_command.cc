// verbenastile rules explain: which rule decides a request, and why.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/text.h"
#include "cli/admin_call.h"
#include "cli/rules_actions.h"
#include "core/explain.h"

namespace verbenastile {
namespace {

struct RequestText {
  std::string group;
  std::string service;
  std::string host;
  std::string path;
  std::string method;
  std::vector<HeaderMatch> headers;
};

// Options that describe a request.
class RequestArgs {
 public:
  explicit RequestArgs(TCLAP::CmdLine& cmd)
      : group_("", "group", "the caller's group", false, "", "G", cmd),
        service_("", "service", "the service asked for", false, "", "S", cmd),
        host_("", "host", "the Host header", false, "", "H", cmd),
        method_("", "method", "HTTP method", false, "GET", "M", cmd),
        path_("", "path", "path of the URL", true, "", "P", cmd),
        headers_("",
                 "header",
                 "a header, again for each",
                 false,
                 "NAME:VALUE",
                 cmd) {}

  // Errors: `OperationError`.
  leaf::result<RequestText> request() {
    RequestText request{group_.getValue(),         service_.getValue(),
                        ToLower(host_.getValue()), path_.getValue(),
                        method_.getValue(),        {}};
    request.path = request.path.substr(0, request.path.find('?'));
    for (const std::string& header : headers_.getValue()) {
      const auto colon = header.find(':');
      if (colon == std::string::npos || colon == 0) {
        return leaf::new_error(
            OperationError{"--header: NAME:VALUE is expected"});
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

Explanation ExplainText(const RuleDocument& document, const RequestText& text) {
  std::vector<HeaderView> headers;
  for (const HeaderMatch& header : text.headers) {
    headers.push_back({header.name, header.value});
  }
  return Explain(document, {text.group, text.service, text.host, text.path,
                            text.method, headers});
}

// Members of the fleet that serve `service`, as a node knows them.
nlohmann::json UpstreamsOf(const nlohmann::json& status,
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

nlohmann::json Targets(const Explanation& explanation,
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
      entry["upstreams"] = UpstreamsOf(status, target.service);
    }
    targets.push_back(std::move(entry));
  }
  return targets;
}

void PrintJson(Generation generation,
               const Explanation& explanation,
               const nlohmann::json& targets) {
  nlohmann::json passed = nlohmann::json::array();
  for (const SkippedRule& rule : explanation.skipped_rules) {
    passed.push_back({{"id", rule.id}, {"reason", rule.reason}});
  }
  nlohmann::json out = {{"generation", generation},
                        {"passedOver", std::move(passed)},
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
  TCLAP::CmdLine cmd("Tells which rule decides a request, and why.", ' ',
                     VERBENASTILE_VERSION);
  PlatformArgs platform_args(cmd);
  OutputArg output(cmd);
  RequestArgs request_args(cmd);
  TCLAP::ValueArg<std::string> admin("", "admin", "a node to ask for upstreams",
                                     false, "", "IP:PORT", cmd);
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
    const Explanation explanation = ExplainText(rules.document, request);
    const auto targets = Targets(explanation, status);
    if (output.json()) {
      PrintJson(rules.head.generation, explanation, targets);
    } else {
      PrintText(rules.head.generation, explanation, targets);
    }
    return kExitOk;
  });
}

}  // namespace verbenastile
