#include "io/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace verbenastile {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",        "keep-alive", "proxy-authenticate",
    "proxy-connection",  "te",         "trailer",
    "transfer-encoding", "upgrade",    "proxy-authorization"};

// Returns the header names listed in "Connection" headers.
std::vector<std::string> ConnectionHeaderNames(const HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (!SameHeaderName(header.name, "connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      names.emplace_back(TrimWhitespace(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

}  // namespace

std::string_view TrimWhitespace(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& h) { return SameHeaderName(h.name, name); });
  return found == headers.end() ? std::string_view() : found->value;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view hop_by_hop) {
                       return SameHeaderName(hop_by_hop, name);
                     });
}

void RemoveConnectionHeaders(HttpHeaders& headers) {
  const std::vector<std::string> connection_names =
      ConnectionHeaderNames(headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    return IsHopByHop(header.name) ||
           std::any_of(connection_names.begin(), connection_names.end(),
                       [&](const auto& name) {
                         return SameHeaderName(name, header.name);
                       });
  });
}

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query() const {
  const auto question_mark = target.find('?');
  return question_mark == std::string::npos
             ? std::string_view()
             : std::string_view(target).substr(question_mark + 1);
}

std::string_view QueryValue(std::string_view query, std::string_view key) {
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
      return pair.substr(equals + 1);
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return {};
}

}  // namespace verbenastile
