// Topic "parsers": texts that are cut, spliced and overwritten at random,
// given to the parsers of what comes from outside. None may crash; what is
// accepted is read back the same from its canonical text; each fault names a
// place that the text has.
#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "config/settings.h"
#include "core/rules_head.h"
#include "core/snapshot.h"
#include "core/state_chart.h"
#include "soak.h"

namespace verbenastile {
namespace {

constexpr std::string_view kRulesText = R"(services:
  - name: readiness
  - {name: booking, needs: [readiness]}
groups:
  - {name: gyms, weight: 2, quota: {rules: 9, bytes: 9000}}
rules:
  - id: pay
    owner: gyms
    when: {group: gyms, path_prefix: /pay, method: POST, headers: {x-a: "1"}}
    then: {route: [{service: booking, weight: 3}], deadline: 2s, retries: 1}
  - id: rest
    when: {host: "a.example"}
    then: {reject: {status: 503, reason: "later: \"soon\""}}
)";

constexpr std::string_view kSettingsText = R"(node: {name: a, failure_domain: w}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2",
         control: "[::1]:3", admin: "127.0.0.1:4"}
upstream: {service: booking, address: "127.0.0.1:5", slots: 6}
platform: {url: "http://127.0.0.1:6", timeout: 2s}
drain_timeout: 5m
)";

constexpr std::string_view kChartText = R"(name: door
initial: closed
events: [open, close]
actions: [ring]
states:
  closed: {on: {open: {to: opened, do: [ring]}}, ignore: [close]}
  opened: {on: {close: {to: closed}}, ignore: [open]}
)";

constexpr std::string_view kHeadText =
    R"({"generation":7,"digest":"00112233445566778899aabbccddeeff",)"
    R"("chunks":["a","b"],)"
    R"("audit":[],"auditPage":""})";

constexpr std::size_t kMaxText = 4'096;
constexpr std::size_t kMaxEdits = 6;

class ParserRun {
 public:
  explicit ParserRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {}

  SoakReport Run() {
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      Step();
    }
    report_.steps = options_.steps;
    report_.digest = digest_.digest();
    return std::move(report_);
  }

 private:
  void Step() {
    switch (random_.Below(4)) {
      case 0:
        TryRules(Edited(kRulesText));
        break;
      case 1:
        TryFaults(Edited(kSettingsText), [](const std::string& text) {
          return ParseSettings(text, "settings");
        });
        break;
      case 2:
        TryFaults(Edited(kChartText), [](const std::string& text) {
          return ParseStateChart(text, "chart");
        });
        break;
      default:
        TryHead(Edited(kHeadText));
        break;
    }
  }

  std::string Edited(std::string_view original) {
    std::string text(original);
    for (std::uint64_t edits = random_.Below(kMaxEdits); edits > 0; --edits) {
      Edit(text);
    }
    text.resize(std::min(text.size(), kMaxText));
    return text;
  }

  void Edit(std::string& text) {
    const std::size_t at = random_.Below(text.size() + 1);
    const std::size_t length = random_.Below(12);
    switch (random_.Below(4)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, text.substr(random_.Below(text.size() + 1), length));
        break;
      case 2:
        text.insert(at, 1, static_cast<char>(random_.Below(256)));
        break;
      default:
        text.insert(at, std::string(length * 8, "[{-\t: \"&*"[length % 9]));
        break;
    }
  }

  void TryRules(const std::string& text) {
    TryFaults(text, [&](const std::string& input) -> leaf::result<void> {
      BOOST_LEAF_AUTO(checked, ParseRules(input, "rules"));
      for (const Rule& rule : checked.document.rules) {
        CheckRoundTrip(rule);
      }
      digest_.Add(checked.document.rules.size());
      return {};
    });
  }

  void CheckRoundTrip(const Rule& rule) {
    const std::string canonical = ToCanonicalText(rule);
    const ItemPointer item = MakeItem(ItemKind::kRule, canonical);
    const auto* read = std::get_if<Rule>(&item->content);
    if (read == nullptr) {
      Require(false, "canonical_text_is_read");
      return;
    }
    Rule again = *read;
    if (options_.mutation == "forget_owner") {
      again.owner.clear();
    }
    Require(ToCanonicalText(again) == canonical, "canonical_text_round_trip");
  }

  void TryHead(const std::string& text) {
    const auto spec = nlohmann::json::parse(text, nullptr, false);
    if (spec.is_discarded()) {
      digest_.Add(0);
      return;
    }
    const bool good = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(head, ParseHead(spec));
          BOOST_LEAF_AUTO(again, ParseHead(ToJson(head)));
          Require(ToJson(again) == ToJson(head), "head_round_trip");
          return true;
        },
        [] { return false; });
    digest_.Add(good ? 1 : 2);
  }

  template <typename Parse>
  void TryFaults(const std::string& text, Parse parse) {
    const int lines =
        2 + static_cast<int>(std::count(text.begin(), text.end(), '\n') +
                             std::count(text.begin(), text.end(), '\r'));
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(parse(text));
          digest_.Add(3);
          return {};
        },
        [&](const ConfigError& error) {
          Require(!error.faults.empty(), "an_error_has_a_fault");
          for (const ConfigFault& fault : error.faults) {
            const int line = options_.mutation == "place_outside"
                                 ? fault.mark.line + lines
                                 : fault.mark.line;
            Require(line >= 1 && line <= lines, "fault_inside_the_text");
            Require(!fault.reason.empty(), "fault_has_a_reason");
          }
          digest_.Add(4 + error.faults.size());
        },
        [&](const leaf::error_info& info) {
          const auto* thrown = info.exception();
          report_.violations.push_back(
              std::string("errors_are_typed: ") +
              (thrown == nullptr ? "no exception" : thrown->what()) + "\n" +
              text);
        });
  }

  void Require(bool holds, const char* name) {
    if (!holds) {
      report_.violations.emplace_back(name);
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  RunDigest digest_;
  SoakReport report_;
};

SoakReport RunParsers(const SoakOptions& options) {
  return ParserRun(options).Run();
}

}  // namespace

SoakTopic ParsersTopic() {
  return {"parsers", RunParsers, {"forget_owner", "place_outside"}};
}

}  // namespace verbenastile
