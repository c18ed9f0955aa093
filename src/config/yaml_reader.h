// Reads typed values from YAML and collects every fault on the way.
#ifndef CONFIG_YAML_READER_H_
#define CONFIG_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// The largest file that is read, in bytes.
constexpr std::size_t kMaxConfigFileBytes = 1'000'000;
// Faults of one file that are reported; a last one says that there are more.
constexpr std::size_t kMaxFaults = 200;

// The whole text of the file at `path`. Errors: `ConfigError` when it is
// missing, not a regular file, unreadable or larger than
// `kMaxConfigFileBytes`.
leaf::result<std::string> ReadConfigFile(const std::string& path);

// The root mapping of `text`. Errors: `ConfigError` when `text` is no UTF-8
// text, is not well-formed YAML, has aliases, is empty or has no mapping at its
// root.
// `file` is named in faults.
leaf::result<YAML::Node> LoadYamlMapping(const std::string& text,
                                         const std::string& file);

// The duration written as a whole number with the unit us, ms, s, m or h.
std::optional<Duration> ParseDuration(std::string_view text);

// `duration` in its largest exact unit, as `ParseDuration` reads it.
std::string FormatDuration(Duration duration);

// A view on one mapping. Each accessor returns a default when the value is
// missing or faulty, and adds a fault to the shared list where that is wrong.
class YamlReader {
 public:
  // `faults` must outlive the reader.
  YamlReader(const YAML::Node& mapping,
             std::string file,
             std::vector<ConfigFault>* faults);

  bool Has(std::string_view key);
  std::string RequiredString(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  std::int64_t Integer(std::string_view key,
                       std::int64_t minimum,
                       std::int64_t maximum,
                       std::int64_t fallback);
  bool Boolean(std::string_view key, bool fallback);
  Duration DurationValue(std::string_view key,
                         Duration minimum,
                         Duration maximum,
                         Duration fallback);
  // The index of the value among `choices`; `fallback` when it is missing.
  std::size_t Choice(std::string_view key,
                     const std::vector<std::string_view>& choices,
                     std::size_t fallback);
  std::vector<std::string> Strings(std::string_view key);

  // The mapping under `key`; an empty one when it is missing.
  YamlReader Section(std::string_view key);
  // Calls `visit` for each mapping in the sequence under `key`.
  void EachMapping(std::string_view key,
                   const std::function<void(YamlReader&)>& visit);
  // Calls `visit` with each key and scalar of the mapping under `key`.
  void EachPair(
      std::string_view key,
      const std::function<void(const std::string&, const std::string&)>& visit);

  // Adds a fault for each key that no accessor asked for, and for each key
  // that stands twice. Call it after the accessors.
  void RejectUnknownKeys();

  void AddFault(std::string_view key, std::string reason);
  SourceMark mark() const;

 private:
  YAML::Node Find(std::string_view key);
  // The scalar under `key`; nothing, with a fault, for any other kind.
  std::optional<std::string> Scalar(std::string_view key);
  void AddFaultAt(const YAML::Mark& mark, std::string reason);

  YAML::Node mapping_;
  std::string file_;
  std::vector<ConfigFault>* faults_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace verbenastile

#endif  // CONFIG_YAML_READER_H_
