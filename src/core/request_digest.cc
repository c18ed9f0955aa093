#include "core/request_digest.h"

#include <fmt/format.h>

#include <iterator>
#include <string>

namespace verbenastile {

// The lengths keep a field from running into the next one.
Digest DigestOf(const RequestContent& request) {
  std::string text;
  for (const std::string_view field :
       {request.caller_service, request.host, request.method, request.target,
        request.body}) {
    fmt::format_to(std::back_inserter(text), "{}:{}", field.size(), field);
  }
  return DigestOf(text);
}

}  // namespace verbenastile
