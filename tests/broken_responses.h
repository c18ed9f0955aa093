// Responses that are no valid HTTP/1.1. Whoever gets one, the caller must get
// none of it.
#ifndef TESTS_BROKEN_RESPONSES_H_
#define TESTS_BROKEN_RESPONSES_H_

#include <fmt/format.h>

#include <string>
#include <vector>

namespace verbenastile {

struct BrokenResponse {
  const char* name = "";
  std::string bytes;
};

// Part of each response. No caller may see it.
constexpr const char* kBrokenBody = "not-a-body";

// `headers`: those that a valid response of the server would have, each with
// its line end.
inline std::vector<BrokenResponse> MakeInvalidStatuses(
    const std::string& headers) {
  const std::string whole = "HTTP/1.1 200 OK\r\n" + headers +
                            "Content-Length: 10\r\n\r\n" + kBrokenBody;
  const auto with_status = [&](int status) {
    return fmt::format("HTTP/1.1 {:03} X\r\n{}Content-Length: 10\r\n\r\n{}",
                       status, headers, kBrokenBody);
  };
  // A head that is followed by a whole response.
  const auto before_whole = [&](int status, const std::string& line = {}) {
    return fmt::format("HTTP/1.1 {:03} X\r\n{}{}\r\n{}", status, headers, line,
                       whole);
  };
  return {
      {"status 000", with_status(0)},
      {"status 000 before a whole response", before_whole(0)},
      {"status 000 with an empty body before a whole response",
       before_whole(0, "Content-Length: 0\r\n")},
      {"status 001", with_status(1)},
      {"status 099", with_status(99)},
      {"status 099 before a whole response", before_whole(99)},
      {"status 101, which nobody asked for", before_whole(101)},
      {"status 600", with_status(600)},
      {"status 999", with_status(999)},
  };
}

}  // namespace verbenastile

#endif  // TESTS_BROKEN_RESPONSES_H_
