#include "base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

#include "base/time.h"

namespace verbenastile {
namespace {

std::atomic<LogLevel> g_level{LogLevel::kInfo};

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

// Buffers lines for standard output, which it sets to non-blocking mode. Not
// thread-safe.
class BufferedLog {
 public:
  explicit BufferedLog(const LogLimits& limits) : limits_(limits) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

  void Add(LogLevel level, std::string_view line) {
    constexpr std::uint32_t kUrgentFactor = 4;
    const std::uint32_t limit =
        limits_.max_lines_per_second *
        (level < LogLevel::kWarning ? 1 : kUrgentFactor);
    ResetRateIfDue();
    if (lines_in_second_ >= limit ||
        buffer_.size() + line.size() > limits_.max_buffer_bytes) {
      ++dropped_;
      return;
    }
    ++lines_in_second_;
    buffer_ += line;
    if (buffer_.size() > kFlushBytes) {
      Flush();
    }
  }

  void Flush() {
    std::size_t written = 0;
    while (written < buffer_.size()) {
      const ssize_t count = write(STDOUT_FILENO, buffer_.data() + written,
                                  buffer_.size() - written);
      if (count <= 0) {
        break;  // The pipe is full; the rest is written by the next flush.
      }
      written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  static constexpr std::size_t kFlushBytes = 16'384;

  void ResetRateIfDue() {
    const auto now = std::chrono::steady_clock::now();
    if (now - second_start_ < std::chrono::seconds(1)) {
      return;
    }
    second_start_ = now;
    lines_in_second_ = 0;
    if (dropped_ > dropped_reported_) {
      fmt::format_to(std::back_inserter(buffer_),
                     "log: Log lines were dropped to keep within the rate and "
                     "buffer limits. level=warning count={}\n",
                     dropped_ - dropped_reported_);
      dropped_reported_ = dropped_;
    }
  }

  LogLimits limits_;
  std::string buffer_;
  std::chrono::steady_clock::time_point second_start_;
  std::uint32_t lines_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

std::optional<BufferedLog> g_buffered;

bool IsUnquotedChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte < 0x7f && c != '"' && c != '\\';
}

std::string Quoted(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (IsUnquotedChar(c) || c == ' ') {
      quoted += c;
    } else {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    }
  }
  quoted += '"';
  return quoted;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level = level;
}

void StartBufferedLog(const LogLimits& limits) {
  g_buffered.emplace(limits);
}

void FlushLog() {
  if (g_buffered) {
    g_buffered->Flush();
  }
}

std::uint64_t DroppedLogLines() {
  return g_buffered ? g_buffered->dropped() : 0;
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return std::nullopt;
}

void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  if (level < g_level) {
    return;
  }
  std::string line = fmt::format("{}: {} level={} unix_ms={}", component,
                                 message, LevelName(level), UnixMilliseconds());
  for (const LogField& field : fields) {
    const bool plain =
        !field.value.empty() &&
        std::all_of(field.value.begin(), field.value.end(), IsUnquotedChar);
    line.append(" ").append(field.key).append("=");
    line.append(plain ? field.value : Quoted(field.value));
  }
  line += '\n';
  if (g_buffered) {
    g_buffered->Add(level, line);
  } else {
    fmt::print(stderr, "{}", line);
  }
}

}  // namespace verbenastile
