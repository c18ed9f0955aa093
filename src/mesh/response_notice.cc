#include "mesh/response_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {
namespace {

constexpr std::string_view kLeavingValue = "1";

std::optional<double> ParseRate(std::string_view text) {
  const bool is_decimal =
      !text.empty() && text.find_first_not_of("0123456789.") == text.npos;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (!is_decimal || parsed.ec != std::errc() || parsed.ptr != end ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

// Adds one header value, which may be a list separated by commas.
RateLimitNotice AddValue(RateLimitNotice notice, std::string_view value) {
  while (!std::holds_alternative<InvalidRateLimit>(notice)) {
    const auto comma = value.find(',');
    const auto rate = ParseRate(TrimWhitespace(value.substr(0, comma)));
    const auto* named = std::get_if<NamedRateLimit>(&notice);
    if (!rate) {
      notice = InvalidRateLimit{std::string(value)};
    } else if (named == nullptr || *rate < named->calls_per_second) {
      notice = NamedRateLimit{*rate};
    }
    if (comma == std::string_view::npos) {
      break;
    }
    value.remove_prefix(comma + 1);
  }
  return notice;
}

}  // namespace

ResponseNotice ParseResponseNotice(std::span<const HttpHeader> headers,
                                   const CallHeaderNames& names) {
  ResponseNotice notice;
  for (const HttpHeader& header : headers) {
    if (SameHeaderName(header.name, names.rate_limit)) {
      notice.rate_limit = AddValue(notice.rate_limit, header.value);
    } else if (SameHeaderName(header.name, names.leaving)) {
      notice.leaving =
          notice.leaving || TrimWhitespace(header.value) == kLeavingValue;
    } else if (SameHeaderName(header.name, names.signature)) {
      notice.is_signed = notice.is_signed || !header.value.empty();
    }
  }
  return notice;
}

}  // namespace verbenastile
