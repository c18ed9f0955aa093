// Secrets that settings name by file.
#ifndef CONFIG_TOKEN_FILE_H_
#define CONFIG_TOKEN_FILE_H_

#include <boost/leaf/result.hpp>
#include <string>

#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 1'024;

// The token in the file at `path`, without blanks around it. Errors:
// `ConfigError` when the file is missing, or the token is too short, too long
// or not one word. No error names any part of the content.
leaf::result<std::string> ReadTokenFile(const std::string& path);

}  // namespace verbenastile

#endif  // CONFIG_TOKEN_FILE_H_
