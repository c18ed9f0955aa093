// Structured logging: each line has a component prefix, a message, and
// key=value fields. Lines go to standard error, or through a buffer to standard
// output.
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

// Sets the lowest level that is logged. The default is `kInfo`.
void SetLogLevel(LogLevel level);

// The limits of a buffered log.
struct LogLimits {
  std::size_t max_buffer_bytes = 1'048'576;
  // Lines below the level of warnings are dropped once this many lines of any
  // level were logged in a second; warnings and errors at four times as many.
  std::uint32_t max_lines_per_second = 600;
};

// Sends all further lines to standard output through a buffer. Logging then
// never blocks: lines beyond the limits are dropped and counted. The caller
// must call `FlushLog` regularly.
void StartBufferedLog(const LogLimits& limits = {});

// Writes as much of the buffer as standard output accepts without blocking.
void FlushLog();

// The number of lines that were dropped since the start.
std::uint64_t DroppedLogLines();

// Parses "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Logs one line: `component: message key=value ...`. Empty values and values
// with spaces, quotes, backslashes or non-printable characters are quoted and
// escaped.
void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace verbenastile

#endif  // BASE_LOG_H_
