// Names of the HTTP headers that callers, nodes and instances exchange. The
// platform defines them; the proxies get them when they are constructed.
#ifndef MESH_CALL_HEADER_NAMES_H_
#define MESH_CALL_HEADER_NAMES_H_

#include <string_view>

namespace verbenastile {

struct CallHeaderNames {
  std::string_view request_id;   // Identifies one attempt of a client.
  std::string_view deadline_ms;  // How long the sender waits for the response.
  std::string_view signature;    // Proves that an instance sent the response.
  std::string_view expected_instance;  // The only instance that may run it.
  std::string_view not_executed;       // On responses: the request was not run.
  std::string_view retry_after;        // In seconds, fractions allowed.
  std::string_view caller_service;  // The service that the caller belongs to.
  // On responses: the requests per second that the instance takes from all
  // nodes together, as a decimal number.
  std::string_view rate_limit;
  std::string_view leaving;  // On responses: "1" if the instance is leaving.
  // Holds the key of the caller's group, after `key_scheme` and a space.
  std::string_view key;
  std::string_view key_scheme;
  std::string_view group;  // Of the caller; set by the system.
};

}  // namespace verbenastile

#endif  // MESH_CALL_HEADER_NAMES_H_
