// The identity of a request by its content. All copies of a request have the
// same digest: retries by nodes, and repeats by callers at any node, which come
// with other request IDs and deadlines.
#ifndef CORE_REQUEST_DIGEST_H_
#define CORE_REQUEST_DIGEST_H_

#include <string_view>

#include "core/digest.h"

namespace verbenastile {

struct RequestContent {
  std::string_view caller_service;
  std::string_view host;
  std::string_view method;
  std::string_view target;  // Path and query.
  std::string_view body;
};

Digest DigestOf(const RequestContent& request);

}  // namespace verbenastile

#endif  // CORE_REQUEST_DIGEST_H_
