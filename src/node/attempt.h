// One attempt of a call at one upstream, seen from the side that started it.
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

// How an attempt ended.
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  int status = 502;    // For the caller, unless the outcome is an answer.
  std::string reason;  // For the caller, in a few words.
  // The node is leaving, or its upstream has gone: go elsewhere.
  bool leaving = false;
};

// What an attempt tells. None of these runs from within the start.
struct AttemptEvents {
  // The status and the headers of the upstream's answer.
  std::function<void(const HttpResponse&)> on_head;
  // A part of its body.
  std::function<void(std::string_view)> on_data;
  // Once, unless the attempt is cancelled.
  std::function<void(const AttemptEnd&)> on_end;
  // What the receiving node says of its slots; may be empty.
  std::function<void(const UpstreamLoad&)> on_load;
};

}  // namespace verbenastile

#endif  // NODE_ATTEMPT_H_
