// Errors found while parsing and validating configuration files.
#ifndef CONFIG_CONFIG_ERROR_H_
#define CONFIG_CONFIG_ERROR_H_

#include <string>
#include <vector>

namespace verbenastile {

// A position in a text; lines and columns are counted from 1.
struct SourceMark {
  int line = 1;
  int column = 1;
};

// One error or warning about a settings, rules or chart file.
struct ConfigFault {
  std::string file;
  SourceMark mark;
  std::string reason;
};

// All errors of one file, in the order in which they were found.
struct ConfigError {
  std::vector<ConfigFault> faults;
};

// Formats as `FILE:LINE:COLUMN: reason`.
std::string ToString(const ConfigFault& fault);

// Formats each fault on a line of its own, with a trailing newline.
std::string ToString(const ConfigError& error);

}  // namespace verbenastile

#endif  // CONFIG_CONFIG_ERROR_H_
