#include "core/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace verbenastile {
namespace {

constexpr std::size_t kHalfDigits = 16;

std::optional<std::uint64_t> ParseHalf(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Digest DigestOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::string ToString(const Digest& digest) {
  return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

std::optional<Digest> ParseDigest(std::string_view text) {
  if (text.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  const auto high = ParseHalf(text.substr(0, kHalfDigits));
  const auto low = ParseHalf(text.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return Digest{*high, *low};
}

}  // namespace verbenastile
