#include "io/http1_syntax.h"

namespace verbenastile {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

}  // namespace

bool IsResponseStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != kSwitchingProtocols;
}

}  // namespace verbenastile
