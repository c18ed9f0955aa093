// Reads secrets from files that the settings name.
#ifndef CONFIG_TOKEN_FILE_H_
#define CONFIG_TOKEN_FILE_H_

#include <boost/leaf/result.hpp>
#include <string>

#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 1'024;

// Returns the token in the file at `path`, without surrounding whitespace.
// Errors: `ConfigError` if the file is missing, or if the token is too short,
// too long or not a single word. Error messages never quote the content, so
// that the secret does not leak into logs.
leaf::result<std::string> ReadTokenFile(const std::string& path);

}  // namespace verbenastile

#endif  // CONFIG_TOKEN_FILE_H_
