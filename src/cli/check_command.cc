// The command `verbenastile check`: checks a file before it is sent. The file
// holds the settings of a node, rules in our own format, or a configuration in
// the platform's format.
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cli/command_line.h"
#include "config/rules.h"
#include "config/yaml_reader.h"
#include "core/configuration_check.h"
#include "platform/configuration.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

namespace verbenastile {
namespace {

using nlohmann::json;
using Findings = std::vector<ConfigurationFinding>;

struct LoadedConfiguration {
  std::string source;
  std::optional<Generation> generation;  // Empty: the format has none.
  RuleDocument document;
};

struct CheckReport {
  const LoadedConfiguration* checked = nullptr;
  Findings unused;
  Findings contradictions;
  // Empty: not compared with another configuration.
  std::optional<Findings> differences;
};

// Only settings files have a section `node` or `listen`.
bool LooksLikeSettings(const YAML::Node& root) {
  return root["node"].IsDefined() || root["listen"].IsDefined();
}

// The platform's format is a JSON object; our own files are block YAML.
bool LooksLikePlatformFormat(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t\r\n");
  return begin != std::string_view::npos && text[begin] == '{' &&
         text.find("\"routes\"") != std::string_view::npos;
}

leaf::result<LoadedConfiguration> ParsePlatformFormat(
    std::string_view text,
    const std::string& source) {
  auto parsed = platform::ParseConfiguration(text);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    return leaf::new_error(ConfigError{{{source, {}, error->reason}}});
  }
  auto& configuration = std::get<platform::Configuration>(parsed);
  std::vector<ConfigFault> faults = FindFaults(configuration.document, source);
  if (!faults.empty()) {
    return leaf::new_error(ConfigError{std::move(faults)});
  }
  return LoadedConfiguration{source, configuration.generation,
                             std::move(configuration.document)};
}

leaf::result<LoadedConfiguration> ParseEitherFormat(const std::string& text,
                                                    const std::string& source) {
  if (LooksLikePlatformFormat(text)) {
    return ParsePlatformFormat(text, source);
  }
  BOOST_LEAF_AUTO(checked, ParseRules(text, source));
  return LoadedConfiguration{source, std::nullopt, std::move(checked.document)};
}

// Reads the configuration in force from the platform's store.
leaf::result<LoadedConfiguration> ReadFromStore(const std::string& address) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return leaf::new_error(ConfigError{
        {{"--store", {}, fmt::format("{} is not IP:PORT", address)}}});
  }
  asio::io_context io{1};
  platform::StoreClient store(io, *parsed);
  std::optional<StoreResult<StoreList>> result;
  store.List(platform::kConfigurationKind, ObjectStore::Freshness::kCurrent,
             [&](StoreResult<StoreList> list) {
               result = std::move(list);
               io.stop();
             });
  io.run();
  if (const auto* error = std::get_if<StoreError>(&*result)) {
    return leaf::new_error(AdminError{
        fmt::format("cannot read the configuration from the store {}: {}",
                    address, error->detail)});
  }
  for (const StoreObject& object : std::get<StoreList>(*result).items) {
    if (object.name == platform::kConfigurationName) {
      return ParsePlatformFormat(object.spec, fmt::format("store {}", address));
    }
  }
  return leaf::new_error(
      AdminError{fmt::format("the store {} holds no configuration", address)});
}

json ToJson(const Findings& findings) {
  json list = json::array();
  for (const ConfigurationFinding& finding : findings) {
    list.push_back({{"subject", finding.subject}, {"text", finding.text}});
  }
  return list;
}

void PrintFindings(std::string_view title, const Findings& findings) {
  fmt::print("{}: {}\n", title, findings.size());
  for (const ConfigurationFinding& finding : findings) {
    fmt::print("  {}: {}\n", finding.subject, finding.text);
  }
}

void PrintReport(const CheckReport& report, bool as_json) {
  const LoadedConfiguration& checked = *report.checked;
  const std::size_t rules = checked.document.rules.size();
  const std::size_t groups = checked.document.groups.size();
  if (as_json) {
    json out = {{"file", checked.source},
                {"rules", rules},
                {"groups", groups},
                {"unused", ToJson(report.unused)},
                {"contradictions", ToJson(report.contradictions)}};
    if (checked.generation) {
      out["generation"] = *checked.generation;
    }
    if (report.differences) {
      out["differences"] = ToJson(*report.differences);
    }
    fmt::print("{}\n",
               out.dump(-1, ' ', false, json::error_handler_t::replace));
    return;
  }
  fmt::print("{}: {} rules are valid\n", checked.source, rules);
  PrintFindings("entries without effect", report.unused);
  PrintFindings("contradictions", report.contradictions);
  if (report.differences) {
    PrintFindings("differences", *report.differences);
  }
}

leaf::result<int> CheckFile(const std::string& path,
                            const std::string& against,
                            const std::string& store,
                            bool as_json) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  if (!LooksLikePlatformFormat(text)) {
    BOOST_LEAF_AUTO(root, LoadYamlMapping(text, path));
    if (LooksLikeSettings(root)) {
      BOOST_LEAF_CHECK(ParseSettings(text, path));
      fmt::print("{}: the settings are valid\n", path);
      return kExitOk;
    }
  }
  BOOST_LEAF_AUTO(checked, ParseEitherFormat(text, path));
  CheckReport report{&checked, FindUnusedEntries(checked.document),
                     FindContradictions(checked.document), std::nullopt};
  if (!against.empty()) {
    BOOST_LEAF_AUTO(other_text, ReadConfigFile(against));
    BOOST_LEAF_AUTO(other, ParseEitherFormat(other_text, against));
    report.differences = FindDifferences(other.document, checked.document);
  } else if (!store.empty()) {
    BOOST_LEAF_AUTO(other, ReadFromStore(store));
    report.differences = FindDifferences(other.document, checked.document);
  }
  PrintReport(report, as_json);
  return kExitOk;
}

}  // namespace

int RunCheckCommand(CommandArgs args) {
  TCLAP::CmdLine cmd(
      "Checks a settings file, a rules file, or a configuration in the "
      "platform's format: errors, entries without effect, contradictions, and "
      "what differs from the configuration in force. Errors end with exit code "
      "2; other findings are printed.",
      ' ', VERBENASTILE_VERSION);
  TCLAP::ValueArg<std::string> against(
      "", "against", "file to compare with, such as the version in force",
      false, "", "FILE", cmd);
  TCLAP::ValueArg<std::string> store(
      "", "store", "address of the platform's store to compare with", false, "",
      "IP:PORT", cmd);
  TCLAP::SwitchArg as_json("", "json", "print JSON", cmd);
  TCLAP::UnlabeledValueArg<std::string> file("file", "file to check", true, "",
                                             "FILE", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&] {
    return CheckFile(file.getValue(), against.getValue(), store.getValue(),
                     as_json.getValue());
  });
}

}  // namespace verbenastile
