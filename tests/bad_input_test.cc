#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "config/rules.h"
#include "config/settings.h"
#include "config/token_file.h"
#include "config/yaml_reader.h"
#include "support.h"

namespace verbenastile {
namespace {

// Nothing listens here, so a command that contacts the platform fails with exit
// code 1 (kExitFailed) instead of kExitInvalid.
constexpr const char* kUnreachablePlatform = "http://127.0.50.250:9";

// Returns the exit code of each command that takes a rules file.
std::vector<int> ExitCodesFor(const std::string& text) {
  const ScratchFile file(text);
  std::vector<int> codes = {RunCheckCommand({"check", file.path()})};
  for (const char* action : {"apply", "add", "update"}) {
    codes.push_back(RunRulesCommand({"rules", action, file.path(), "--platform",
                                     kUnreachablePlatform, "--wait", "1ms"}));
  }
  return codes;
}

std::string ParseErrors(const std::string& text) {
  return ErrorTextOf([&] { return ParseRules(text, "rules.yaml"); });
}

// Returns whether each line starts with the file name, a line and a column.
bool HasPositions(const std::string& errors) {
  std::istringstream lines(errors);
  std::string line;
  bool valid = !errors.empty();
  while (std::getline(lines, line)) {
    int row = 0;
    int column = 0;
    valid =
        valid &&
        std::sscanf(line.c_str(), "rules.yaml:%d:%d: ", &row, &column) == 2 &&
        row > 0 && column > 0;
  }
  return valid;
}

const std::string kTenErrors = R"(
services:
  - {name: booking, needs: [nobody]}
  - {name: booking}
groups:
  - {name: gyms, weight: 0, colour: red}
rules:
  - id: one
    when: {path_prefix: pay}
    then: {route: [{service: nowhere}], deadline: soon}
  - id: one
    when: {group: strangers}
    then: {reject: {status: 200}}
  - {id: three}
  - {id: four, then: {}}
)";

SCENARIO("malformed rules files are rejected by all commands") {
  GIVEN("a file with at least ten errors") {
    const std::string errors = ParseErrors(kTenErrors);
    THEN("all are reported with their positions") {
      CHECK(HasPositions(errors));
      CHECK(std::count(errors.begin(), errors.end(), '\n') >= 10);
    }
  }
  std::string huge = "rules:\n";
  while (huge.size() < 2'000'000) {
    huge += "  - {id: a, then: {reject: {}}}\n";
  }
  std::string aliases = "rules: &a [&r {id: a}";
  while (aliases.size() < 900'000) {
    aliases += ", *r";
  }
  const std::vector<std::pair<std::string, std::string>> texts = {
      {"ten errors", kTenErrors},
      {"empty", ""},
      {"blank", " \n\n"},
      {"comment", "# nothing\n"},
      {"binary", std::string("\x7f"
                             "ELF\x02\x01\0\0\xff\xfe",
                             10)},
      {"utf-16", std::string("\xff\xfer\0u\0l\0e\0s\0:\0", 14)},
      {"latin-1", "rules: [{id: caf\xe9, then: {reject: {}}}]\n"},
      {"overlong", "rules: [{id: \xc0\xaf, then: {reject: {}}}]\n"},
      {"surrogate", "rules: [{id: \xed\xa0\x80, then: {reject: {}}}]\n"},
      {"cut utf-8", "rules: \xf0\x9f\x98"},
      {"deep", "rules: " + std::string(100'000, '[')},
      {"deep maps", "rules: " + std::string(100'000, '{')},
      {"aliases", aliases + "]\n"},
      {"one alias", "a: &x 1\nrules: [*x]\n"},
      {"unknown alias", "rules: *x\n"},
      {"twice", "rules: []\nrules: []\n"},
      {"list", "- a\n- b\n"},
      {"unclosed", "rules: [1, 2"},
      {"tabs", "rules:\n\t- {id: a}\n"},
      {"2 MB", huge}};
  for (const auto& [name, text] : texts) {
    WHEN("the file is " + name) {
      THEN("the error has a position, and the platform is not contacted") {
        for (const int code : ExitCodesFor(text)) {
          CHECK(code == kExitInvalid);
        }
        if (text.size() <= kMaxConfigFileBytes) {
          CHECK(HasPositions(ParseErrors(text)));
        }
      }
    }
  }
  GIVEN("a file with more errors than are reported") {
    std::string text = "rules:\n";
    for (int i = 0; i < 5'000; ++i) {
      text += "  - {id: x, colour: red}\n";
    }
    const std::string errors = ParseErrors(text);
    CHECK(errors.find("too many errors; the others are not listed") !=
          std::string::npos);
    CHECK(std::count(errors.begin(), errors.end(), '\n') <
          static_cast<long>(2 * kMaxFaults + 10));
  }
}

SCENARIO("CRLF line ends and a byte order mark are accepted") {
  CHECK(ParseErrors("rules:\r\n  - {id: a, then: {reject: {}}}\r\n").empty());
  CHECK(ParseErrors("\xef\xbb\xbfrules: [{id: a, then: {reject: {}}}]\n")
            .empty());
}

SCENARIO("invalid options are rejected before the platform is contacted") {
  const auto rules = [](CommandArgs args) {
    args.insert(args.begin(), "rules");
    args.insert(args.end(),
                {"--platform", kUnreachablePlatform, "--wait", "1ms"});
    return RunRulesCommand(std::move(args));
  };
  CHECK(rules({"move", "a", "--before", "b", "--after", "c"}) == kExitInvalid);
  CHECK(rules({"retire"}) == kExitInvalid);
  CHECK(rules({"retire", "a", "--who", std::string(200, 'x')}) == kExitInvalid);
  CHECK(rules({"retire", "a", "--colour"}) == kExitInvalid);
  CHECK(rules({"fly"}) == kExitInvalid);
  CHECK(RunRulesCommand({"rules", "outcome", "x", "--platform",
                         kUnreachablePlatform}) == kExitInvalid);
  CHECK(RunAuditCommand({"audit", "--platform", kUnreachablePlatform, "--since",
                         "noon"}) == kExitInvalid);
  CHECK(RunAuditCommand({"audit", "--platform", kUnreachablePlatform, "--limit",
                         "0"}) == kExitInvalid);
  GIVEN("a platform that is unreachable") {
    CHECK(rules({"retire", "a"}) == kExitFailed);
    CHECK(RunAuditCommand({"audit", "--platform", kUnreachablePlatform}) ==
          kExitFailed);
  }
}

SCENARIO("an admin address that is not loopback requires a token file") {
  const std::string text = R"(
node: {name: a, failure_domain: w1}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2",
         control: "127.0.0.1:3", admin: "10.0.0.1:4"}
upstream: {service: booking, address: "127.0.0.1:5"}
platform: {url: "http://127.0.0.1:6"}
)";
  const auto errors = [](const std::string& settings) {
    return ErrorTextOf([&] { return ParseSettings(settings, "node.yaml"); });
  };
  CHECK(errors(text).find("admin_token_file: the key is missing") !=
        std::string::npos);
  CHECK(errors(text + "admin_token_file: /run/token\n").empty());
  const ScratchFile file(text);
  CHECK(RunCheckCommand({"check", file.path()}) == kExitInvalid);
  CHECK(RunNodeCommand({"node", "--settings", file.path()}) == kExitInvalid);
}

SCENARIO("a token is read from a file") {
  const auto token = [](const std::string& text) {
    const ScratchFile file(text);
    return MustSucceed([&] { return ReadTokenFile(file.path()); });
  };
  const auto parse_errors = [](const std::string& text) {
    const ScratchFile file(text);
    return ErrorTextOf([&] { return ReadTokenFile(file.path()); });
  };
  CHECK(token(" 0123456789abcdef\r\n") == "0123456789abcdef");
  for (const std::string& invalid :
       {std::string(), std::string("secret"), std::string(2'000, 'x'),
        std::string("0123456789 abcdef")}) {
    const std::string errors = parse_errors(invalid);
    CHECK(errors.find("the token must be a single word") != std::string::npos);
    CHECK((invalid.empty() || errors.find(invalid) == std::string::npos));
  }
}

}  // namespace
}  // namespace verbenastile
