#include "core/utc_time.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>

namespace verbenastile {
namespace {

constexpr UnixSeconds kSecondsPerDay = 86'400;
constexpr std::size_t kDateLength = 10;
constexpr std::size_t kTimeLength = 20;

// Parses the `digits` digits at `position`; returns -1 if they are no number.
int ParseNumberAt(std::string_view text,
                  std::size_t position,
                  std::size_t digits) {
  int value = 0;
  const char* begin = text.data() + position;
  const auto parsed = std::from_chars(begin, begin + digits, value);
  return parsed.ec == std::errc() && parsed.ptr == begin + digits ? value : -1;
}

std::optional<UnixSeconds> ParseDate(std::string_view text) {
  if (text[4] != '-' || text[7] != '-') {
    return std::nullopt;
  }
  const int month = ParseNumberAt(text, 5, 2);
  const int day = ParseNumberAt(text, 8, 2);
  if (month < 0 || day < 0) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date(
      std::chrono::year(ParseNumberAt(text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(month)),
      std::chrono::day(static_cast<unsigned>(day)));
  if (!date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date).time_since_epoch().count() *
         kSecondsPerDay;
}

}  // namespace

std::string FormatUtc(UnixSeconds time) {
  const std::chrono::sys_seconds time_point{std::chrono::seconds(time)};
  const auto day = std::chrono::floor<std::chrono::days>(time_point);
  const std::chrono::year_month_day date(day);
  const auto second_of_day = (time_point - day).count();
  return fmt::format(
      "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", static_cast<int>(date.year()),
      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
      second_of_day / 3'600, second_of_day / 60 % 60, second_of_day % 60);
}

std::optional<UnixSeconds> ParseUtc(std::string_view text) {
  if (text.size() != kDateLength && text.size() != kTimeLength) {
    return std::nullopt;
  }
  const auto date = ParseDate(text);
  if (!date || text.size() == kDateLength) {
    return date;
  }
  const int hour = ParseNumberAt(text, 11, 2);
  const int minute = ParseNumberAt(text, 14, 2);
  const int second = ParseNumberAt(text, 17, 2);
  const bool well_formed = text[10] == 'T' && text[13] == ':' &&
                           text[16] == ':' && text[19] == 'Z' && hour >= 0 &&
                           hour < 24 && minute >= 0 && minute < 60 &&
                           second >= 0 && second < 60;
  if (!well_formed) {
    return std::nullopt;
  }
  return *date + UnixSeconds{hour} * 3'600 + UnixSeconds{minute} * 60 + second;
}

}  // namespace verbenastile
