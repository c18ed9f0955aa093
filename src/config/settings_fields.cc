#include "config/settings_fields.h"

#include <fmt/format.h>

namespace verbenastile {
namespace {

constexpr std::size_t kMaxNameBytes = 100;

}  // namespace

bool IsValidName(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

std::string ReadName(YamlReader& reader, std::string_view key) {
  std::string name = reader.RequiredString(key);
  if (!name.empty() && !IsValidName(name)) {
    reader.AddFault(key, fmt::format("{}: only letters, digits, '.', '-' and "
                                     "'_' are allowed, at most {} characters",
                                     key, kMaxNameBytes));
  }
  return name;
}

SocketAddress ReadAddress(YamlReader& reader, std::string_view key) {
  const std::string text = reader.RequiredString(key);
  const auto address = ParseSocketAddress(text);
  if (!address && !text.empty()) {
    reader.AddFault(
        key, fmt::format("{}: IP:PORT is expected, not \"{}\"", key, text));
  }
  return address.value_or(SocketAddress{});
}

}  // namespace verbenastile
