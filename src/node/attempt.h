// Result and callbacks of one attempt to send a call to an upstream, as seen by
// the code that started the attempt.
#ifndef NODE_ATTEMPT_H_
#define NODE_ATTEMPT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/attempt_outcome.h"
#include "core/balancer.h"
#include "io/http_client.h"

namespace verbenastile {

// Final result of an attempt.
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // HTTP status for the caller; unused if the upstream answered.
  int status = 502;
  std::string reason;  // Short error text for the caller.
  // The node is leaving or has lost its upstream. The caller's node should try
  // another instance.
  bool leaving = false;
};

// Callbacks of an attempt. None is invoked from inside the call that starts the
// attempt.
struct AttemptEvents {
  // Receives the status and headers of the upstream's response.
  std::function<void(const HttpResponse&)> on_head;
  // Receives the next part of the response body.
  std::function<void(std::string_view)> on_data;
  // Runs exactly once, unless the attempt is cancelled.
  std::function<void(const AttemptEnd&)> on_end;
  // Receives the slot usage that the receiving node reports. May be empty.
  std::function<void(const UpstreamLoad&)> on_load;
};

}  // namespace verbenastile

#endif  // NODE_ATTEMPT_H_
