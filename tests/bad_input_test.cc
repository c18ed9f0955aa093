#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
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

// A file that goes with its owner.
class ScratchFile {
 public:
  explicit ScratchFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("verbenastile_" + std::to_string(++g_count) + "_" +
               std::to_string(std::hash<std::string>()(text)))) {
    std::ofstream(path_, std::ios::binary) << text;
  }
  ~ScratchFile() { std::filesystem::remove(path_); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  std::string path() const { return path_.string(); }

 private:
  static inline int g_count = 0;
  std::filesystem::path path_;
};

// Where nothing listens: a command that got so far would fail with 1.
constexpr const char* kNoPlatform = "http://127.0.50.250:9";

// The exit code of every command that takes a rules file.
std::vector<int> ExitCodesFor(const std::string& text) {
  const ScratchFile file(text);
  std::vector<int> codes = {RunCheckCommand({"check", file.path()})};
  for (const char* action : {"apply", "add", "update"}) {
    codes.push_back(RunRulesCommand({"rules", action, file.path(), "--platform",
                                     kNoPlatform, "--wait", "1ms"}));
  }
  return codes;
}

std::string Faults(const std::string& text) {
  return ErrorTextOf([&] { return ParseRules(text, "rules.yaml"); });
}

// Each line names the file, a line and a column.
bool HasPlaces(const std::string& faults) {
  std::istringstream lines(faults);
  std::string line;
  bool good = !faults.empty();
  while (std::getline(lines, line)) {
    int row = 0;
    int column = 0;
    good =
        good &&
        std::sscanf(line.c_str(), "rules.yaml:%d:%d: ", &row, &column) == 2 &&
        row > 0 && column > 0;
  }
  return good;
}

const std::string kTenFaults = R"(
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

SCENARIO("rules that are no rules reach the tool") {
  GIVEN("a file with ten faults and more") {
    const std::string faults = Faults(kTenFaults);
    THEN("all are named with their places") {
      CHECK(HasPlaces(faults));
      CHECK(std::count(faults.begin(), faults.end(), '\n') >= 10);
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
      {"ten faults", kTenFaults},
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
      THEN("the fault is clear, and the platform is never asked") {
        for (const int code : ExitCodesFor(text)) {
          CHECK(code == kExitInvalid);
        }
        if (text.size() <= kMaxConfigFileBytes) {
          CHECK(HasPlaces(Faults(text)));
        }
      }
    }
  }
  GIVEN("more faults than anybody reads") {
    std::string text = "rules:\n";
    for (int i = 0; i < 5'000; ++i) {
      text += "  - {id: x, colour: red}\n";
    }
    const std::string faults = Faults(text);
    CHECK(faults.find("and more faults") != std::string::npos);
    CHECK(std::count(faults.begin(), faults.end(), '\n') <
          static_cast<long>(2 * kMaxFaults + 10));
  }
}

SCENARIO("line ends of other systems are read") {
  CHECK(Faults("rules:\r\n  - {id: a, then: {reject: {}}}\r\n").empty());
  CHECK(Faults("\xef\xbb\xbfrules: [{id: a, then: {reject: {}}}]\n").empty());
}

SCENARIO("options that make no sense are refused before anything is done") {
  const auto rules = [](CommandArgs args) {
    args.insert(args.begin(), "rules");
    args.insert(args.end(), {"--platform", kNoPlatform, "--wait", "1ms"});
    return RunRulesCommand(std::move(args));
  };
  CHECK(rules({"move", "a", "--before", "b", "--after", "c"}) == kExitInvalid);
  CHECK(rules({"retire"}) == kExitInvalid);
  CHECK(rules({"retire", "a", "--who", std::string(200, 'x')}) == kExitInvalid);
  CHECK(rules({"retire", "a", "--colour"}) == kExitInvalid);
  CHECK(rules({"fly"}) == kExitInvalid);
  CHECK(RunRulesCommand({"rules", "outcome", "x", "--platform", kNoPlatform}) ==
        kExitInvalid);
  CHECK(RunAuditCommand({"audit", "--platform", kNoPlatform, "--since",
                         "noon"}) == kExitInvalid);
  CHECK(RunAuditCommand({"audit", "--platform", kNoPlatform, "--limit", "0"}) ==
        kExitInvalid);
  GIVEN("a platform that does not answer") {
    CHECK(rules({"retire", "a"}) == kExitFailed);
    CHECK(RunAuditCommand({"audit", "--platform", kNoPlatform}) == kExitFailed);
  }
}

SCENARIO("settings are refused when they open the node to strangers") {
  const std::string text = R"(
node: {name: a, failure_domain: w1}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2",
         control: "127.0.0.1:3", admin: "10.0.0.1:4"}
upstream: {service: booking, address: "127.0.0.1:5"}
platform: {url: "http://127.0.0.1:6"}
)";
  const auto faults = [](const std::string& settings) {
    return ErrorTextOf([&] { return ParseSettings(settings, "node.yaml"); });
  };
  CHECK(faults(text).find("admin_token_file: the key is missing") !=
        std::string::npos);
  CHECK(faults(text + "admin_token_file: /run/token\n").empty());
  const ScratchFile file(text);
  CHECK(RunCheckCommand({"check", file.path()}) == kExitInvalid);
  CHECK(RunNodeCommand({"node", "--settings", file.path()}) == kExitInvalid);
}

SCENARIO("a token is read from a file") {
  const auto token = [](const std::string& text) {
    const ScratchFile file(text);
    return MustSucceed([&] { return ReadTokenFile(file.path()); });
  };
  const auto refusal = [](const std::string& text) {
    const ScratchFile file(text);
    return ErrorTextOf([&] { return ReadTokenFile(file.path()); });
  };
  CHECK(token(" 0123456789abcdef\r\n") == "0123456789abcdef");
  for (const std::string& bad :
       {std::string(), std::string("secret"), std::string(2'000, 'x'),
        std::string("0123456789 abcdef")}) {
    const std::string faults = refusal(bad);
    CHECK(faults.find("a token is one word") != std::string::npos);
    CHECK((bad.empty() || faults.find(bad) == std::string::npos));
  }
}

}  // namespace
}  // namespace verbenastile
