// Reads typed values from YAML and collects all errors with their positions, so
// that one run reports every fault of a file.
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

// Larger files are rejected.
constexpr std::size_t kMaxConfigFileBytes = 1'000'000;
// The number of faults reported for one file. If there are more, a last entry
// says so.
constexpr std::size_t kMaxFaults = 200;

// Returns the content of the file at `path`. Errors: `ConfigError` if it is
// missing, not a regular file, unreadable or larger than `kMaxConfigFileBytes`.
leaf::result<std::string> ReadConfigFile(const std::string& path);

// Parses `text` and returns its root mapping. `file` is the file name in
// errors. Errors: `ConfigError` if `text` is empty, is not valid UTF-8,
// contains control characters or aliases, is not well-formed YAML or its root
// is not a mapping.
leaf::result<YAML::Node> LoadYamlMapping(const std::string& text,
                                         const std::string& file);

// Parses an integer with the unit us, ms, s, m or h. Returns nullopt if `text`
// is something else or more than a year.
std::optional<Duration> ParseDuration(std::string_view text);

// Formats `duration` for `ParseDuration`, in the largest unit that is exact.
std::string FormatDuration(Duration duration);

// Reads one mapping. If a value is missing or invalid, accessors return a
// default; for an invalid or a missing required value they also add a fault to
// the shared list.
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
  // Returns the index of the value in `choices`.
  std::size_t Choice(std::string_view key,
                     const std::vector<std::string_view>& choices,
                     std::size_t fallback);
  std::vector<std::string> Strings(std::string_view key);

  // Returns a reader of the mapping under `key`; of an empty one if it is
  // missing.
  YamlReader Section(std::string_view key);
  // Calls `visit` with a reader of each mapping in the sequence under `key`,
  // and rejects the keys that `visit` does not read.
  void ForEachMapping(std::string_view key,
                      const std::function<void(YamlReader&)>& visit);
  // Calls `visit` with each key and scalar value of the mapping under `key`.
  void ForEachPair(
      std::string_view key,
      const std::function<void(const std::string&, const std::string&)>& visit);

  // Adds a fault for each key that no accessor has read and for each duplicate
  // key. Call it after the accessors.
  void RejectUnknownKeys();

  // Adds a fault at the value of `key`, or at the mapping if it is missing.
  void AddFault(std::string_view key, std::string reason);
  // Returns the position of the mapping.
  SourceMark mark() const;

 private:
  YAML::Node Find(std::string_view key);
  // Returns the scalar under `key`; nullopt if it is missing. Adds a fault if
  // the value is not a scalar.
  std::optional<std::string> Scalar(std::string_view key);
  void AddFaultAt(const YAML::Mark& mark, std::string reason);

  YAML::Node mapping_;
  std::string file_;
  std::vector<ConfigFault>* faults_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace verbenastile

#endif  // CONFIG_YAML_READER_H_
