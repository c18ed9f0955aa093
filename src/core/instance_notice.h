// What an upstream instance says about itself in its responses, beside its
// reports to the node.
#ifndef CORE_INSTANCE_NOTICE_H_
#define CORE_INSTANCE_NOTICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace verbenastile {

// The response names no rate limit.
struct NoRateLimit {};
// The response names the calls per second that the instance takes from all
// nodes together; 0 or more.
struct NamedRateLimit {
  double calls_per_second = 0;
};
// The response has a rate limit that cannot be parsed.
struct InvalidRateLimit {
  std::string text;
};
using RateLimitNotice =
    std::variant<NoRateLimit, NamedRateLimit, InvalidRateLimit>;

// The notices of one response.
struct ResponseNotice {
  RateLimitNotice rate_limit;
  bool leaving = false;  // The instance takes no new calls soon.
  // Whether the response carries the instance's signature.
  bool is_signed = false;
  // Whether its status is a success. Failures may be written by a part of the
  // instance that does not name the limit, so they do not end one.
  bool is_success = false;
};

// What a node has heard about an instance. Nodes return it with their calls,
// because the node beside the instance may have been restarted since.
struct InstanceNotice {
  std::string instance;  // The ID of the instance.
  // Calls per second from all nodes together; empty: no limit.
  std::optional<double> rate_limit;
  // It said that it leaves, in a response or in a report.
  bool leaving = false;
  // When it started, in Unix ms; 0: not known.
  std::uint64_t started_ms = 0;

  bool operator==(const InstanceNotice&) const = default;
};

}  // namespace verbenastile

#endif  // CORE_INSTANCE_NOTICE_H_
