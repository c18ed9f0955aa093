#include "mesh/frame_check.h"

#include <algorithm>

#include "io/http1_syntax.h"

namespace verbenastile {
namespace {

bool AreValid(const HttpHeaders& headers) {
  return std::all_of(headers.begin(), headers.end(), IsValidHeader);
}

}  // namespace

bool IsValidCall(const GateCall& call) {
  const auto body = ParseBodyHeaders(call.headers);
  return IsToken(call.method) && IsRequestTarget(call.target) &&
         AreValid(call.headers) && body && !body->length && !body->chunked;
}

bool IsValidResponse(const GateResponse& response) {
  return response.status >= kFirstFinalStatus &&
         IsResponseStatus(response.status) && AreValid(response.headers);
}

}  // namespace verbenastile
