#include "config/yaml_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <yaml-cpp/eventhandler.h>

namespace verbenastile {
namespace {

struct DurationUnit {
  std::string_view name;
  std::int64_t microseconds;
};

// Ordered from the largest to the smallest.
constexpr std::array<DurationUnit, 5> kDurationUnits = {{
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::int64_t kMaxDurationMicroseconds = 365LL * 24 * 3'600'000'000;

ConfigError SingleFault(const std::string& file,
                        SourceMark mark,
                        std::string reason) {
  return {{{file, mark, std::move(reason)}}};
}

SourceMark ToSourceMark(const YAML::Mark& mark) {
  return {std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1};
}

namespace utf = boost::locale::utf;

bool IsControl(utf::code_point point) {
  const bool is_whitespace = point == '\n' || point == '\r' || point == '\t';
  return (point < 0x20 && !is_whitespace) || point == 0x7f;
}

// Returns the position of the first control character or invalid UTF-8
// sequence.
std::optional<SourceMark> FindInvalidText(std::string_view text) {
  SourceMark mark;
  const char* next = text.data();
  const char* end = text.data() + text.size();
  while (next != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(next, end);
    if (!utf::is_valid_codepoint(point) || IsControl(point)) {
      return mark;
    }
    ++mark.column;
    if (point == '\n') {
      ++mark.line;
      mark.column = 1;
    }
  }
  return std::nullopt;
}

// Finds the first alias. Aliases are rejected because nested ones let a small
// file expand to a huge document.
class AliasFinder : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    if (!found_) {
      found_ = ToSourceMark(mark);
    }
  }
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

  const std::optional<SourceMark>& found() const { return found_; }

 private:
  std::optional<SourceMark> found_;
};

// Returns the position of the first alias. Throws YAML::Exception if `text` is
// not well-formed.
std::optional<SourceMark> FindAlias(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  AliasFinder finder;
  parser.HandleNextDocument(finder);
  return finder.found();
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

leaf::result<std::string> ReadConfigFile(const std::string& path) {
  std::error_code status;
  if (!std::filesystem::is_regular_file(path, status)) {
    return leaf::new_error(SingleFault(path, {}, "no such regular file"));
  }
  const auto bytes = std::filesystem::file_size(path, status);
  if (status || bytes > kMaxConfigFileBytes) {
    return leaf::new_error(
        SingleFault(path, {},
                    fmt::format("the file has {} bytes; at most {} are allowed",
                                bytes, kMaxConfigFileBytes)));
  }
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return leaf::new_error(SingleFault(path, {}, "the file cannot be read"));
  }
  return text.str();
}

leaf::result<YAML::Node> LoadYamlMapping(const std::string& text,
                                         const std::string& file) {
  if (const auto mark = FindInvalidText(text)) {
    return leaf::new_error(
        SingleFault(file, *mark, "invalid UTF-8 or a control character"));
  }
  YAML::Node root;
  try {
    if (text.find('*') != std::string::npos) {
      if (const auto mark = FindAlias(text)) {
        return leaf::new_error(
            SingleFault(file, *mark, "aliases are not supported"));
      }
    }
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    return leaf::new_error(
        SingleFault(file, ToSourceMark(error.mark), error.msg));
  }
  if (!root.IsDefined() || root.IsNull()) {
    return leaf::new_error(SingleFault(file, {}, "the file is empty"));
  }
  if (!root.IsMap()) {
    return leaf::new_error(SingleFault(file, ToSourceMark(root.Mark()),
                                       "a mapping is expected at the root"));
  }
  return root;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  const auto count = ParseInteger(text.substr(0, digits));
  const auto unit = text.substr(digits);
  for (const DurationUnit& candidate : kDurationUnits) {
    if (candidate.name != unit || !count) {
      continue;
    }
    if (*count > kMaxDurationMicroseconds / candidate.microseconds) {
      return std::nullopt;
    }
    return Duration(*count * candidate.microseconds);
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (duration.count() % unit.microseconds == 0 && duration.count() != 0) {
      return fmt::format("{}{}", duration.count() / unit.microseconds,
                         unit.name);
    }
  }
  return "0s";
}

YamlReader::YamlReader(const YAML::Node& mapping,
                       std::string file,
                       std::vector<ConfigFault>* faults)
    : mapping_(mapping), file_(std::move(file)), faults_(faults) {}

YAML::Node YamlReader::Find(std::string_view key) {
  known_keys_.emplace(key);
  if (!mapping_.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  for (const auto& entry : mapping_) {
    if (entry.first.IsScalar() && entry.first.Scalar() == key) {
      return entry.second;
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

bool YamlReader::Has(std::string_view key) {
  return Find(key).IsDefined();
}

std::optional<std::string> YamlReader::Scalar(std::string_view key) {
  const YAML::Node value = Find(key);
  if (!value.IsDefined()) {
    return std::nullopt;
  }
  if (!value.IsScalar()) {
    AddFaultAt(value.Mark(), fmt::format("{}: a scalar is expected", key));
    return std::nullopt;
  }
  return value.Scalar();
}

std::string YamlReader::RequiredString(std::string_view key) {
  if (!Has(key)) {
    AddFaultAt(mapping_.Mark(), fmt::format("{}: the key is missing", key));
    return {};
  }
  const auto value = Scalar(key);
  if (value && value->empty()) {
    AddFault(key, fmt::format("{}: the value is empty", key));
  }
  return value.value_or("");
}

std::string YamlReader::String(std::string_view key,
                               std::string_view fallback) {
  return Scalar(key).value_or(std::string(fallback));
}

std::int64_t YamlReader::Integer(std::string_view key,
                                 std::int64_t minimum,
                                 std::int64_t maximum,
                                 std::int64_t fallback) {
  const auto text = Scalar(key);
  if (!text) {
    return fallback;
  }
  const auto value = ParseInteger(*text);
  if (!value) {
    AddFault(key,
             fmt::format("{}: an integer is expected, not \"{}\"", key, *text));
    return fallback;
  }
  if (*value < minimum || *value > maximum) {
    AddFault(key, fmt::format("{}: {} is outside {} to {}", key, *value,
                              minimum, maximum));
    return fallback;
  }
  return *value;
}

bool YamlReader::Boolean(std::string_view key, bool fallback) {
  const auto text = Scalar(key);
  if (!text) {
    return fallback;
  }
  if (*text != "true" && *text != "false") {
    AddFault(key, fmt::format("{}: true or false is expected", key));
    return fallback;
  }
  return *text == "true";
}

Duration YamlReader::DurationValue(std::string_view key,
                                   Duration minimum,
                                   Duration maximum,
                                   Duration fallback) {
  const auto text = Scalar(key);
  if (!text) {
    return fallback;
  }
  const auto value = ParseDuration(*text);
  if (!value) {
    AddFault(key, fmt::format("{}: a duration such as 250ms or 30s is "
                              "expected, not \"{}\"",
                              key, *text));
    return fallback;
  }
  if (*value < minimum || *value > maximum) {
    AddFault(key,
             fmt::format("{}: {} is outside {} to {}", key, *text,
                         FormatDuration(minimum), FormatDuration(maximum)));
    return fallback;
  }
  return *value;
}

std::size_t YamlReader::Choice(std::string_view key,
                               const std::vector<std::string_view>& choices,
                               std::size_t fallback) {
  const auto text = Scalar(key);
  if (!text) {
    return fallback;
  }
  const auto found = std::find(choices.begin(), choices.end(), *text);
  if (found != choices.end()) {
    return static_cast<std::size_t>(found - choices.begin());
  }
  AddFault(key, fmt::format("{}: one of {} is expected, not \"{}\"", key,
                            fmt::join(choices, ", "), *text));
  return fallback;
}

std::vector<std::string> YamlReader::Strings(std::string_view key) {
  std::vector<std::string> values;
  const YAML::Node sequence = Find(key);
  if (!sequence.IsDefined()) {
    return values;
  }
  if (!sequence.IsSequence()) {
    AddFaultAt(sequence.Mark(), fmt::format("{}: a list is expected", key));
    return values;
  }
  for (const auto& item : sequence) {
    if (item.IsScalar()) {
      values.push_back(item.Scalar());
    } else {
      AddFaultAt(item.Mark(), fmt::format("{}: a string is expected", key));
    }
  }
  return values;
}

YamlReader YamlReader::Section(std::string_view key) {
  const YAML::Node section = Find(key);
  if (section.IsDefined() && !section.IsMap()) {
    AddFaultAt(section.Mark(), fmt::format("{}: a mapping is expected", key));
  }
  if (!section.IsDefined() || !section.IsMap()) {
    return YamlReader(YAML::Node(YAML::NodeType::Map), file_, faults_);
  }
  return YamlReader(section, file_, faults_);
}

void YamlReader::ForEachMapping(std::string_view key,
                                const std::function<void(YamlReader&)>& visit) {
  const YAML::Node sequence = Find(key);
  if (!sequence.IsDefined()) {
    return;
  }
  if (!sequence.IsSequence()) {
    AddFaultAt(sequence.Mark(), fmt::format("{}: a list is expected", key));
    return;
  }
  for (const auto& item : sequence) {
    if (!item.IsMap()) {
      AddFaultAt(item.Mark(), fmt::format("{}: a mapping is expected", key));
      continue;
    }
    YamlReader reader(item, file_, faults_);
    visit(reader);
    reader.RejectUnknownKeys();
  }
}

void YamlReader::ForEachPair(
    std::string_view key,
    const std::function<void(const std::string&, const std::string&)>& visit) {
  const YAML::Node pairs = Find(key);
  if (!pairs.IsDefined()) {
    return;
  }
  if (!pairs.IsMap()) {
    AddFaultAt(pairs.Mark(), fmt::format("{}: a mapping is expected", key));
    return;
  }
  for (const auto& pair : pairs) {
    if (pair.first.IsScalar() && pair.second.IsScalar()) {
      visit(pair.first.Scalar(), pair.second.Scalar());
    } else {
      AddFaultAt(pair.second.Mark(),
                 fmt::format("{}: a scalar is expected for each key", key));
    }
  }
}

void YamlReader::RejectUnknownKeys() {
  std::set<std::string> seen;
  for (const auto& entry : mapping_) {
    if (!entry.first.IsScalar()) {
      AddFaultAt(entry.first.Mark(), "a key must be a scalar");
      continue;
    }
    const std::string& key = entry.first.Scalar();
    if (!known_keys_.contains(key)) {
      AddFaultAt(entry.first.Mark(), fmt::format("{}: unknown key", key));
    }
    if (!seen.insert(key).second) {
      AddFaultAt(entry.first.Mark(), fmt::format("{}: duplicate key", key));
    }
  }
}

void YamlReader::AddFault(std::string_view key, std::string reason) {
  const YAML::Node value = Find(key);
  AddFaultAt(value.IsDefined() ? value.Mark() : mapping_.Mark(),
             std::move(reason));
}

void YamlReader::AddFaultAt(const YAML::Mark& mark, std::string reason) {
  if (faults_->size() == kMaxFaults) {
    faults_->push_back({file_, ToSourceMark(mark),
                        "too many errors; the others are not listed"});
  }
  if (faults_->size() > kMaxFaults) {
    return;
  }
  faults_->push_back({file_, ToSourceMark(mark), std::move(reason)});
}

SourceMark YamlReader::mark() const {
  return ToSourceMark(mapping_.Mark());
}

}  // namespace verbenastile
