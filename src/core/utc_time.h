// Formats and parses wall-clock times. Nothing here reads the clock: code that
// makes decisions is passed the time.
#ifndef CORE_UTC_TIME_H_
#define CORE_UTC_TIME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {

// Seconds since 1970-01-01T00:00:00Z, without leap seconds.
using UnixSeconds = std::int64_t;

// Formats `time` as, for example, "2026-12-03T20:55:00Z".
std::string FormatUtc(UnixSeconds time);

// Parses the format of `FormatUtc`, or a date alone. Returns nullopt otherwise.
std::optional<UnixSeconds> ParseUtc(std::string_view text);

}  // namespace verbenastile

#endif  // CORE_UTC_TIME_H_
