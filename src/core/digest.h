// 128-bit content digests (XXH3). They detect corruption and equal content, but
// do not protect against forgery.
#ifndef CORE_DIGEST_H_
#define CORE_DIGEST_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {

struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const Digest&) const = default;
};

Digest DigestOf(std::string_view bytes);

// 32 lower-case hexadecimal digits.
std::string ToString(const Digest& digest);

// Parses the output of `ToString`. Returns nothing when `text` is malformed.
std::optional<Digest> ParseDigest(std::string_view text);

}  // namespace verbenastile

#endif  // CORE_DIGEST_H_
