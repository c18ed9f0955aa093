#include "node/call_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <span>

#include "base/text.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3'600 * 1'000;
constexpr std::uint64_t kMaxAttempts = 1'000;

constexpr std::string_view kPeerOnlyHeaders[] = {
    kAttemptIdHeader, kTargetHeader, kPriorityHeader, kLoadHeader};
constexpr std::string_view kProxyResponseHeaders[] = {
    kOutcomeHeader, kRuleHeader, kGenerationHeader, kLoadHeader,
    kLeavingHeader};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

void RemoveAll(HttpHeaders& headers, std::span<const std::string_view> names) {
  std::erase_if(headers, [&](const HttpHeader& header) {
    return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
      return SameHeaderName(header.name, name);
    });
  });
}

std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& h) { return SameHeaderName(h.name, name); }));
}

}  // namespace

void RemoveHeader(HttpHeaders& headers, std::string_view name) {
  RemoveAll(headers, {&name, 1});
}

void SetHeader(HttpHeaders& headers, std::string_view name, std::string value) {
  RemoveHeader(headers, name);
  headers.push_back({std::string(name), std::move(value)});
}

std::optional<std::uint64_t> ReadNumber(const HttpHeaders& headers,
                                        std::string_view name,
                                        std::uint64_t max) {
  const auto number = ParseNumber(FindHeader(headers, name));
  return number && *number <= max ? number : std::nullopt;
}

std::optional<Duration> ReadDeadline(const HttpHeaders& headers) {
  const auto ms = ReadNumber(headers, kDeadlineHeader, kMaxDeadlineMs);
  if (!ms) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*ms);
}

std::optional<std::uint32_t> ReadAttempts(const HttpHeaders& headers,
                                          std::string_view name) {
  const auto number = ReadNumber(headers, name, kMaxAttempts);
  if (!number) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(*number);
}

Priority ReadPriority(const HttpHeaders& headers) {
  const auto text = FindHeader(headers, kPriorityHeader);
  const auto* found =
      std::find(std::begin(kPriorityNames), std::end(kPriorityNames), text);
  return found == std::end(kPriorityNames)
             ? Priority::kNormal
             : static_cast<Priority>(found - std::begin(kPriorityNames));
}

std::string ToString(Priority priority) {
  return kPriorityNames[static_cast<std::size_t>(priority)];
}

std::optional<UpstreamLoad> ReadLoad(const HttpHeaders& headers) {
  const auto text = FindHeader(headers, kLoadHeader);
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto busy = ParseNumber(text.substr(0, slash));
  const auto queued = ParseNumber(text.substr(slash + 1));
  if (!busy || !queued) {
    return std::nullopt;
  }
  return UpstreamLoad{static_cast<std::uint32_t>(*busy),
                      static_cast<std::uint32_t>(*queued)};
}

std::string ToString(const UpstreamLoad& load) {
  return fmt::format("{}/{}", load.busy, load.queued);
}

std::optional<std::uint64_t> ReadLength(const HttpHeaders& headers) {
  if (!FindHeader(headers, "transfer-encoding").empty()) {
    return std::nullopt;
  }
  return ParseNumber(FindHeader(headers, "content-length"));
}

void CleanCallerHeaders(HttpHeaders& headers) {
  RemoveConnectionHeaders(headers);
  RemoveAll(headers, kPeerOnlyHeaders);
  RemoveHeader(headers, "content-length");
  RemoveHeader(headers, "expect");
}

void CleanUpstreamHeaders(HttpHeaders& headers) {
  RemoveConnectionHeaders(headers);
  RemoveAll(headers, kProxyResponseHeaders);
}

void CleanPeerHeaders(HttpHeaders& headers) {
  RemoveHeader(headers, kLoadHeader);
  RemoveHeader(headers, kLeavingHeader);
}

std::string_view FindRequestFault(const HttpRequest& request) {
  if (!request.target.starts_with('/') && request.target != "*") {
    return "the target has to be a path";
  }
  if (request.method == "CONNECT" || request.method == "TRACE") {
    return "the method is not served";
  }
  if (CountHeaders(request.headers, "host") > 1) {
    return "more than one Host";
  }
  if (CountHeaders(request.headers, "content-length") > 1 ||
      CountHeaders(request.headers, "transfer-encoding") > 1) {
    return "the length of the body is stated twice";
  }
  const auto encoding = FindHeader(request.headers, "transfer-encoding");
  if (!encoding.empty() && ToLower(encoding) != "chunked") {
    return "the transfer encoding is not served";
  }
  return {};
}

}  // namespace verbenastile
