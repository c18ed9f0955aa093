#include "config/token_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

#include "config/yaml_reader.h"

namespace verbenastile {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string Trim(const std::string& text) {
  const auto begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

}  // namespace

leaf::result<std::string> ReadTokenFile(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  std::string token = Trim(text);
  const bool is_single_word =
      std::all_of(token.begin(), token.end(),
                  [](unsigned char c) { return std::isgraph(c) != 0; });
  if (!is_single_word || token.size() < kMinTokenBytes ||
      token.size() > kMaxTokenBytes) {
    return leaf::new_error(ConfigError{
        {{path,
          {},
          fmt::format("the token must be a single word of {} to {} bytes",
                      kMinTokenBytes, kMaxTokenBytes)}}});
  }
  return token;
}

}  // namespace verbenastile
