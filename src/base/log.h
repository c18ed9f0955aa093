// Logs: a fixed prefix per part, a short sentence, then key=value fields. To
// standard error, or buffered to standard output.
#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair at the end of a log line.
struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

// Lines below `level` are dropped from now on.
void SetLogLevel(LogLevel level);

// What a buffered log may take up.
struct LogLimits {
  std::size_t max_buffer_bytes = 1'048'576;
  // Lines of the levels below warning, in a second; each other line counts
  // against four times as many.
  std::uint32_t max_lines_per_second = 600;
};

// From now on lines go to standard output, by `FlushLog`, and never block:
// lines beyond the limits are dropped and counted.
void StartBufferedLog(const LogLimits& limits = {});

// Writes what is buffered, as far as standard output takes it.
void FlushLog();

// Lines dropped so far.
std::uint64_t DroppedLogLines();

// The level called "debug", "info", "warning" or "error"; otherwise nothing.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Writes one line: `part: sentence key=value ...`. A value with blanks, quotes
// or control characters is quoted and escaped.
void Log(LogLevel level,
         std::string_view part,
         std::string_view sentence,
         std::initializer_list<LogField> fields = {});

}  // namespace verbenastile

#endif  // BASE_LOG_H_
