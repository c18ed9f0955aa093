// The names of the headers that callers, nodes and instances exchange; they
// are the platform's, and given to the call path when it is made.
#ifndef MESH_CALL_HEADER_NAMES_H_
#define MESH_CALL_HEADER_NAMES_H_

#include <string_view>

namespace verbenastile {

struct CallHeaderNames {
  std::string_view request_id;         // Of one attempt of a client.
  std::string_view deadline_ms;        // How long the sender will wait.
  std::string_view signature;          // Proves an answer of an instance.
  std::string_view expected_instance;  // The only one that may run it.
  std::string_view not_executed;       // On answers: it did not run.
  std::string_view retry_after;        // Seconds, fractions allowed.
  std::string_view caller_service;     // The service that the caller runs.
};

}  // namespace verbenastile

#endif  // MESH_CALL_HEADER_NAMES_H_
